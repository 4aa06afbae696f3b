package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// begun is the time from which the record counts.
var begun = time.Now()

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	lines []string
}

// add adds a line with the time.
func (r *record) add(format string, arguments ...any) {
	line := fmt.Sprintf("%9.4f ", time.Since(begun).Seconds()) + fmt.Sprintf(format, arguments...)
	r.mu.Lock()
	r.lines = append(r.lines, line)
	r.mu.Unlock()
}

// write writes the record to a file, the result first.
func (r *record) write(path string, result []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.Strings(r.lines)
	return os.WriteFile(path, []byte(strings.Join(result, "\n")+"\n\n"+strings.Join(r.lines, "\n")+"\n"), 0o644)
}
