package document_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/document"
)

// FuzzParse checks that each problem has a line, a column and a message, and that a text without mistakes yields a
// document with a service and endpoints.
func FuzzParse(f *testing.F) {
	seeds, err := filepath.Glob("testdata/seeds/*.yaml")
	must.NoError(f, err)
	must.SliceNotEmpty(f, seeds)
	for _, path := range seeds {
		text, err := os.ReadFile(path)
		must.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte(strings.Repeat("[", 1000)))
	f.Add([]byte(strings.Repeat("- ", 1000)))
	f.Add([]byte("service: &a [*a]"))
	f.Add([]byte("? x\n: y"))
	f.Add([]byte("service: \"\\"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, problems := document.Check("fuzz.yaml", text)
		for _, problem := range problems {
			must.Positive(t, problem.Line)
			must.Positive(t, problem.Column)
			must.NotEq(t, "", problem.Message)
		}
		if len(problems.Errors()) == 0 {
			must.NotEq(t, "", string(d.Service))
			must.SliceNotEmpty(t, d.Endpoints)
		}
	})
}

func TestDeeplyNestedTextsAreRefused(t *testing.T) {
	for _, text := range []string{"[", "{a: ", "- ", "? ", "- ? - "} {
		full := strings.Repeat(text, document.MaxBytes/len(text))
		_, err := document.Parse("deep.yaml", []byte(full))
		must.ErrorContains(t, err, "nested deeper than 64 levels")
	}
}

func TestOversizedTextsAreRefused(t *testing.T) {
	_, err := document.Parse("large.yaml", []byte(strings.Repeat("#", document.MaxBytes+1)))
	must.ErrorContains(t, err, "write at most 1048576")
}
