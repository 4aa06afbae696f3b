package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	at      time.Time
	request string
	engine  string
	path    string
}

// record writes what was sent, answered and run to a file, and keeps the arrivals at engines.
type record struct {
	started time.Time

	mu       sync.Mutex
	file     *os.File
	out      *bufio.Writer
	arrivals []arrival
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) arrived(request, engine string, got *http.Request) {
	now := time.Now()
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{at: now, request: request, engine: engine, path: got.URL.Path})
	r.mu.Unlock()
	r.printf("engine %s got request %s %s %s", engine, request, got.Method, got.URL.Path)
}

// copyArrivals returns the arrivals so far.
func (r *record) copyArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// since returns the seconds from the start to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.started).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
