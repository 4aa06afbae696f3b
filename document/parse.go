package document

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// MaxBytes is the maximum size of a document's text in bytes.
const MaxBytes = strict.MaxBytes

// Parse returns the document with the given text or, if the text has mistakes, all of them as an error of the type
// strict.Problems. The name, such as a file name, is part of its messages.
func Parse(name string, text []byte) (*chicoryhall.Document, error) {
	d, problems := Check(name, text)
	if mistakes := problems.Errors(); len(mistakes) > 0 {
		return nil, mistakes
	}
	return d, nil
}

// Check returns all problems in the text of a document, which are mistakes and warnings, and the document, which is
// incomplete if there are mistakes.
func Check(name string, text []byte) (*chicoryhall.Document, strict.Problems) {
	var d chicoryhall.Document
	file := strict.Decode(name, text, &d)
	check(file, &d)
	return &d, file.Problems()
}
