package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an error or a warning at a position in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
	// Warning means that the file may be used nevertheless.
	Warning bool `json:"warning,omitempty"`
}

// Error returns the problem as one line: file:line:column: path: message. A warning has ": warning" after the column.
func (p Problem) Error() string {
	position := fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	if p.Warning {
		position += ": warning"
	}
	if p.Path == "" {
		return position + ": " + p.Message
	}
	return position + ": " + p.Path + ": " + p.Message
}

// Problems is a list of problems; those that a File returns are ordered by position.
type Problems []Problem

// Error returns a message with one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the problems that are not warnings.
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
