package event

import (
	"fmt"
	"io"
	"slices"

	"github.com/charmbracelet/log"
)

// Event is one kind of log line.
type Event struct {
	number  int
	level   log.Level
	message string
	meaning string
	action  string
}

// Number returns the event's number in the catalogue.
func (e *Event) Number() int { return e.number }

// Message returns the text of the log line.
func (e *Event) Message() string { return e.message }

var catalogue []*Event

// define adds an event to the catalogue; numbers must be unique.
func define(number int, level log.Level, message, meaning, action string) *Event {
	for _, known := range catalogue {
		if known.number == number {
			panic(fmt.Sprintf("event %d is defined twice: %q and %q", number, known.message, message))
		}
	}
	e := &Event{number: number, level: level, message: message, meaning: meaning, action: action}
	catalogue = append(catalogue, e)
	return e
}

// Logger writes events of one program.
type Logger struct {
	inner *log.Logger
}

// NewLogger returns a Logger that writes structured lines of level and above to w.
func NewLogger(w io.Writer, program string, level log.Level) *Logger {
	inner := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Level:           level,
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{inner: inner.With("program", program)}
}

// With returns a Logger that adds the keys and values to each line.
func (l *Logger) With(keyvals ...any) *Logger {
	return &Logger{inner: l.inner.With(keyvals...)}
}

// Log writes one event with keys and values.
func (l *Logger) Log(e *Event, keyvals ...any) {
	l.inner.Log(e.level, e.message, append([]any{"event", e.number}, keyvals...)...)
}

// WriteCatalogue writes the catalogue as a Markdown page.
func WriteCatalogue(w io.Writer) error {
	sorted := slices.Clone(catalogue)
	slices.SortFunc(sorted, func(a, b *Event) int { return a.number - b.number })
	if _, err := fmt.Fprint(w, "# Events\n\nMade by `chicoryhall events`; do not edit.\n\n"+
		"| number | level | message | meaning | what to do |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, e := range sorted {
		_, err := fmt.Fprintf(w, "| %d | %s | %s | %s | %s |\n", e.number, e.level, e.message, e.meaning, e.action)
		if err != nil {
			return err
		}
	}
	return nil
}
