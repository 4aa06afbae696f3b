package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake, or one warning, at a place in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
	// Warning tells that the file may be used all the same.
	Warning bool `json:"warning,omitempty"`
}

// Error returns the problem as one line: file:line:column: path: message.
func (p Problem) Error() string {
	place := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Warning {
		place += ": warning"
	}
	if p.Path == "" {
		return place + ": " + p.Message
	}
	return place + ": " + p.Path + ": " + p.Message
}

// Problems is a list of problems, in the order of the file; as an error it prints one a line.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the problems that are no warnings.
func (p Problems) Errors() Problems {
	return p.filter(false)
}

// Warnings returns the problems that are warnings.
func (p Problems) Warnings() Problems {
	return p.filter(true)
}

func (p Problems) filter(warning bool) Problems {
	var kept Problems
	for i := range p {
		if p[i].Warning == warning {
			kept = append(kept, p[i])
		}
	}
	return kept
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
