package document

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// MaxBytes is the maximum size of a document's text in bytes.
const MaxBytes = strict.MaxBytes

// Parse returns the document with the given text, or, if the text has mistakes, a
// strict.Problems as the error. The name, such as a file name, stands in the messages of the error.
func Parse(name string, text []byte) (*chicoryhall.Document, error) {
	d, problems := Check(name, text)
	if mistakes := problems.Errors(); len(mistakes) > 0 {
		return nil, mistakes
	}
	return d, nil
}

// Check returns all mistakes and warnings in the text of a document, together with the document, which is incomplete if
// there are mistakes.
func Check(name string, text []byte) (*chicoryhall.Document, strict.Problems) {
	var d chicoryhall.Document
	file := strict.Decode(name, text, &d)
	check(file, &d)
	return &d, file.Problems()
}
