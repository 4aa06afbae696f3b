package entry

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/command"
)

const (
	// maxLogLine bounds one line of a log in bytes.
	maxLogLine = 1 << 20
	// before is how long before a request's first line other lines may still explain it.
	before = 2 * time.Second
	// timeKey begins what the program wrote of a line; some collectors put words before it.
	timeKey = "time="
)

// logLine is one line of a daemon's log.
type logLine struct {
	at     time.Time
	file   string
	keys   []string
	values map[string]string
}

// value returns the text of a key, or an empty one.
func (l *logLine) value(key string) string { return l.values[key] }

// writer tells the daemon that wrote the line, by its own word or else by the file.
func (l *logLine) writer() string { return cmp.Or(l.values["daemon"], l.file) }

// explainRequest prints, from daemons' logs, the decisions on one request and what the daemons came
// to believe meanwhile of the endpoints that it met.
func explainRequest(streams command.Streams, id string, files []string) error {
	var all []logLine
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
	own := linesOf(all, id)
	if len(own) == 0 {
		return errors.Errorf("no line of %s names request %q; look at the logs of all daemons around its time", strings.Join(files, ", "), id)
	}
	for _, line := range around(all, own, id) {
		printLine(streams, line, own[0].at, line.value("request") == id)
	}
	return nil
}

// readLog reads the lines of one file that a chicoryhall program wrote.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), timeKey)
		if !found {
			continue
		}
		if line, ok := parseLine(path, timeKey+text); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", path)
}

// parseLine reads one line; false means that it is of another form.
func parseLine(path, text string) (logLine, bool) {
	line := logLine{file: path, values: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key := string(decoder.Key())
			line.keys = append(line.keys, key)
			line.values[key] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.value("time"))
	line.at = at
	return line, err == nil && decoder.Err() == nil
}

// linesOf returns the lines of one request.
func linesOf(all []logLine, id string) []logLine {
	return slices.DeleteFunc(slices.Clone(all), func(line logLine) bool { return line.value("request") != id })
}

// around adds to a request's lines those of the same daemons that tell of its endpoints, of the rules
// and of the store while it was in progress.
func around(all, own []logLine, id string) []logLine {
	from, to := own[0].at.Add(-before), own[len(own)-1].at
	var endpoints strings.Builder
	writers := make(map[string]bool)
	for _, line := range own {
		endpoints.WriteString(line.value("route") + " " + line.value("detail") + " " + line.value("error") + " ")
		writers[line.writer()] = true
	}
	return slices.DeleteFunc(slices.Clone(all), func(line logLine) bool {
		if line.value("request") != "" {
			return line.value("request") != id
		}
		endpoint := line.value("endpoint")
		isElsewhere := endpoint != "" && !strings.Contains(endpoints.String(), endpoint)
		return line.at.Before(from) || line.at.After(to) || !writers[line.writer()] || isElsewhere
	})
}

// printLine prints a line's time after the request's first one, its event and its inputs.
func printLine(streams command.Streams, line logLine, first time.Time, isOwn bool) {
	mark := " "
	if isOwn {
		mark = "*"
	}
	var inputs []string
	for _, key := range line.keys {
		switch key {
		case "time", "level", "msg", "program", "event", "request":
		default:
			inputs = append(inputs, key+"="+cmp.Or(line.value(key), "-"))
		}
	}
	fmt.Fprintf(streams.Out, "%s %9.3f s  %s %s: %s\n", mark, line.at.Sub(first).Seconds(), line.value("event"),
		line.value("msg"), strings.Join(inputs, ", "))
}
