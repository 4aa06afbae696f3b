package strict

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 1 << 20

// position is a position in the text; lines and columns count from 1.
type position struct {
	line   int
	column int
}

// File is a decoded file with the positions of its fields, by path, and the problems found so far.
type File struct {
	name      string
	positions map[string]position
	problems  Problems
}

// Decode decodes text into the struct that into points to, and returns the File with all errors found; name is the
// file name in messages. After an error, into holds only a part of the fields: it must not be used unless Err returns nil.
//
// A field is required unless its yaml tag has the option omitempty.
func Decode(name string, text []byte, into any) *File {
	f := &File{name: name, positions: map[string]position{"": {line: 1, column: 1}}}
	if len(text) > MaxBytes {
		f.AddError("", "the file has %d bytes; write at most %d", len(text), MaxBytes)
		return f
	}
	if pos, ok := findTooDeep(text); ok {
		f.addProblem(pos, "", false, "the text is nested deeper than %d levels; write it flatter", maxNesting)
		return f
	}
	parsed, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey()) // decodeEntry reports duplicate keys.
	if err != nil {
		f.addSyntaxError(err)
		return f
	}
	f.decodeDocuments(parsed, into)
	return f
}

func (f *File) addSyntaxError(err error) {
	var syntax yaml.Error
	if !errors.As(err, &syntax) || syntax.GetToken() == nil {
		f.AddError("", "this is no YAML: %s", firstLine(err.Error()))
		return
	}
	f.addProblem(tokenPosition(syntax.GetToken()), "", false, "this is no YAML: %s", syntax.GetMessage())
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

func (f *File) decodeDocuments(parsed *ast.File, into any) {
	var bodies []ast.Node
	for _, doc := range parsed.Docs {
		if doc.Body != nil && doc.Body.Type() != ast.CommentType {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		f.AddError("", "the file is empty; write the fields of one YAML mapping")
	case 1:
		decodeRoot(f, bodies[0], into)
	default:
		f.addProblem(nodePosition(bodies[1]), "", false, "a second YAML document begins here; write one a file")
	}
}

// AddError adds an error in the field with the given path, such as "classes[0].timeout".
func (f *File) AddError(path, format string, arguments ...any) {
	f.addProblem(f.nearestPosition(path), path, false, format, arguments...)
}

// AddWarning adds a warning about the field with the given path.
func (f *File) AddWarning(path, format string, arguments ...any) {
	f.addProblem(f.nearestPosition(path), path, true, format, arguments...)
}

// Problems returns all errors and warnings, ordered by position.
func (f *File) Problems() Problems {
	f.problems.sort()
	return f.problems
}

// Err returns the errors, without the warnings, as one error of type Problems, or nil if there are none.
func (f *File) Err() error {
	found := f.Problems().Errors()
	if len(found) == 0 {
		return nil
	}
	return found
}

func (f *File) addProblem(pos position, path string, warning bool, format string, arguments ...any) {
	f.problems = append(f.problems, Problem{
		File: f.name, Line: pos.line, Column: pos.column, Path: path,
		Message: fmt.Sprintf(format, arguments...), Warning: warning,
	})
}

// nearestPosition returns the position of the field or, if the field is absent, of the nearest field that encloses it.
func (f *File) nearestPosition(path string) position {
	for {
		if pos, ok := f.positions[path]; ok {
			return pos
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return f.positions[""]
		}
		path = path[:cut]
	}
}

func tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{line: 1, column: 1}
	}
	return position{line: max(1, t.Position.Line), column: max(1, t.Position.Column)}
}
