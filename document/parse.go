package document

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// MaxBytes is the maximum size of a document's text in bytes.
const MaxBytes = strict.MaxBytes

// Parse parses and checks the text of a document. If the text has mistakes, the
// error is a strict.Problems. The name, such as a file name, appears in its messages.
func Parse(name string, text []byte) (*chicoryhall.Document, error) {
	d, problems := Check(name, text)
	if mistakes := problems.Errors(); len(mistakes) > 0 {
		return nil, mistakes
	}
	return d, nil
}

// Check parses the text of a document and returns it with all mistakes and warnings.
func Check(name string, text []byte) (*chicoryhall.Document, strict.Problems) {
	var d chicoryhall.Document
	file := strict.Decode(name, text, &d)
	check(file, &d)
	return &d, file.Problems()
}
