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
	// maxLogLine is the maximum length of a log line in bytes.
	maxLogLine = 1 << 20
	// contextBefore is the time before a request's first log line in which other lines are included as context.
	contextBefore = 2 * time.Second
	// timePrefix is the start of the lines that a daemon writes, except those of event 1006. Log collectors may put other
	// text before it.
	timePrefix = "time="
)

// logLine is one line of a daemon's log.
type logLine struct {
	time   time.Time
	file   string
	keys   []string
	values map[string]string
}

// value returns the value of a key, or "" if the line does not have it.
func (l *logLine) value(key string) string { return l.values[key] }

// daemon returns the ID of the daemon that wrote the line or, if the line does not have it, the file name.
func (l *logLine) daemon() string { return cmp.Or(l.values["daemon"], l.file) }

// explainRequest reads daemons' logs and prints the decisions on one request and its context: changes to the states of
// the endpoints that it used, to the rules and to the store, in the daemons that handled it.
func explainRequest(streams command.Streams, id string, files []string) error {
	var all []logLine
	for _, file := range files {
		lines, err := readLog(file)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.time.Compare(b.time) })
	requestLines := linesOf(all, id)
	if len(requestLines) == 0 {
		return errors.Errorf("no line of %s names request %q; look at the logs of all daemons around its time", strings.Join(files, ", "), id)
	}
	for _, line := range withContext(all, requestLines, id) {
		printLine(streams, line, requestLines[0].time, line.value("request") == id)
	}
	return nil
}

// readLog returns the lines of one file that are logfmt with a time, and skips all others.
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
		_, text, found := strings.Cut(scanner.Text(), timePrefix)
		if !found {
			continue
		}
		if line, ok := parseLine(path, timePrefix+text); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrapf(scanner.Err(), "read log %s", path)
}

// parseLine parses one line. It returns false if the line is not logfmt with a time.
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
	timestamp, err := time.Parse(time.RFC3339Nano, line.value("time"))
	line.time = timestamp
	return line, err == nil && decoder.Err() == nil
}

// linesOf returns the lines about one request.
func linesOf(all []logLine, id string) []logLine {
	return slices.DeleteFunc(slices.Clone(all), func(line logLine) bool { return line.value("request") != id })
}

// withContext returns a request's lines together with the other lines that the same daemons wrote about its endpoints,
// the rules and the store, in the time from contextBefore before its first line until its last line.
func withContext(all, requestLines []logLine, id string) []logLine {
	from, to := requestLines[0].time.Add(-contextBefore), requestLines[len(requestLines)-1].time
	// routeText contains all texts that name endpoints used by the request. An endpoint counts as used if its ID is part of
	// it, so endpoints with similar IDs may be included as well.
	var routeText strings.Builder
	writers := make(map[string]bool)
	for _, line := range requestLines {
		routeText.WriteString(line.value("route") + " " + line.value("detail") + " " + line.value("error") + " ")
		writers[line.daemon()] = true
	}
	return slices.DeleteFunc(slices.Clone(all), func(line logLine) bool {
		if line.value("request") != "" {
			return line.value("request") != id
		}
		endpoint := line.value("endpoint")
		ofOtherEndpoint := endpoint != "" && !strings.Contains(routeText.String(), endpoint)
		return line.time.Before(from) || line.time.After(to) || !writers[line.daemon()] || ofOtherEndpoint
	})
}

// printLine prints a line's time relative to first, its event and its other keys and values. Lines about the request are
// marked.
func printLine(streams command.Streams, line logLine, first time.Time, marked bool) {
	mark := " "
	if marked {
		mark = "*"
	}
	var values []string
	for _, key := range line.keys {
		switch key {
		case "time", "level", "msg", "program", "event", "request":
		default:
			values = append(values, key+"="+cmp.Or(line.value(key), "-"))
		}
	}
	fmt.Fprintf(streams.Out, "%s %9.3f s  %s %s: %s\n", mark, line.time.Sub(first).Seconds(), line.value("event"),
		line.value("msg"), strings.Join(values, ", "))
}
