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

// MaxBytes is the largest file that is read, in bytes.
const MaxBytes = 1 << 20

// place is a position in the text, both counted from 1.
type place struct {
	line   int
	column int
}

// File is one parsed file with the places of its fields and the problems found so far.
type File struct {
	name     string
	places   map[string]place
	problems Problems
}

// Decode reads text into the struct that into points to and returns the File with all mistakes.
//
// A field whose yaml tag lacks omitempty must be present.
func Decode(name string, text []byte, into any) *File {
	f := &File{name: name, places: map[string]place{"": {line: 1, column: 1}}}
	if len(text) > MaxBytes {
		f.Report("", "the file has %d bytes; write at most %d", len(text), MaxBytes)
		return f
	}
	if at, ok := tooDeep(text); ok {
		f.add(at, "", false, "the text is nested deeper than %d levels; write it flatter", maxNesting)
		return f
	}
	parsed, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.addSyntax(err)
		return f
	}
	f.decodeDocuments(parsed, into)
	return f
}

func (f *File) addSyntax(err error) {
	var syntax yaml.Error
	if !errors.As(err, &syntax) || syntax.GetToken() == nil {
		f.Report("", "this is no YAML: %s", firstLine(err.Error()))
		return
	}
	f.add(placeOf(syntax.GetToken()), "", false, "this is no YAML: %s", syntax.GetMessage())
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
		f.Report("", "the file is empty; write the fields of one YAML mapping")
	case 1:
		decodeRoot(f, bodies[0], into)
	default:
		f.add(nodePlace(bodies[1]), "", false, "a second YAML document begins here; write one a file")
	}
}

// Report adds a mistake at the field with the given path, such as "classes[0].timeout".
func (f *File) Report(path, format string, arguments ...any) {
	f.add(f.nearest(path), path, false, format, arguments...)
}

// Warn adds a warning at the field with the given path.
func (f *File) Warn(path, format string, arguments ...any) {
	f.add(f.nearest(path), path, true, format, arguments...)
}

// Problems returns all mistakes and warnings in the order of the file.
func (f *File) Problems() Problems {
	f.problems.sort()
	return f.problems
}

// Err returns the mistakes as Problems, or nil when there are none but warnings.
func (f *File) Err() error {
	mistakes := f.Problems().Errors()
	if len(mistakes) == 0 {
		return nil
	}
	return mistakes
}

func (f *File) add(at place, path string, warning bool, format string, arguments ...any) {
	f.problems = append(f.problems, Problem{
		File: f.name, Line: at.line, Column: at.column, Path: path,
		Message: fmt.Sprintf(format, arguments...), Warning: warning,
	})
}

// nearest returns the place of the field or, when it is absent, of what it belongs to.
func (f *File) nearest(path string) place {
	for {
		if at, ok := f.places[path]; ok {
			return at
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return f.places[""]
		}
		path = path[:cut]
	}
}

func placeOf(t *token.Token) place {
	if t == nil || t.Position == nil {
		return place{line: 1, column: 1}
	}
	return place{line: max(1, t.Position.Line), column: max(1, t.Position.Column)}
}
