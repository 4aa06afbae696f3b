package entry

import (
	"context"
	"flag"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/result"
	"chicoryhall.example/chicoryhall/command"
)

// The sizes of the picture and of one bar.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// plotVerb draws a bar chart of the times to the first token of a result.
var plotVerb = command.Verb{
	Name:      "plot",
	Arguments: "RESULT PICTURE",
	Summary:   "Draws the p95 times to the first token (of plain services, to the answer) in a result file, which \"load -out\" writes, as a picture (.png, .svg or .pdf).",
	New: func(*flag.FlagSet) command.Run {
		return func(_ context.Context, _ command.Streams, arguments []string) error {
			if len(arguments) != 2 {
				return command.UsageError("name a result and a picture, got %d names", len(arguments))
			}
			loaded, err := result.Load(arguments[0])
			if err != nil {
				return err
			}
			return drawFirstTokenTimes(loaded, arguments[1])
		}
	},
}

// drawFirstTokenTimes draws one bar for each row of the result, in milliseconds. The labels of the bars do not contain the
// service.
func drawFirstTokenTimes(r *result.Result, path string) error {
	values := make(plotter.Values, 0, len(r.Rows))
	names := make([]string, 0, len(r.Rows))
	for _, row := range r.Rows {
		values = append(values, row.FirstToken.P95)
		names = append(names, string(row.Class)+"\n"+string(row.Organisation))
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return errors.Wrap(err, "draw bars")
	}
	picture := plot.New()
	picture.Title.Text = "Time to the first token, p95"
	picture.Y.Label.Text = "milliseconds"
	picture.Add(bars)
	picture.NominalX(names...)
	return errors.Wrap(picture.Save(plotWidth, plotHeight, path), "save picture of the times to the first token")
}
