package document

import (
	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/strict"
)

// MaxBytes is the largest document text, in bytes.
const MaxBytes = strict.MaxBytes

// Parse checks the text of a document; mistakes in it are a strict.Problems.
//
// The name stands in the messages, such as a file's name.
func Parse(name string, text []byte) (*chicoryhall.Document, error) {
	d, problems := Check(name, text)
	if mistakes := problems.Errors(); len(mistakes) > 0 {
		return nil, mistakes
	}
	return d, nil
}

// Check returns all mistakes and warnings of a document's text.
func Check(name string, text []byte) (*chicoryhall.Document, strict.Problems) {
	var d chicoryhall.Document
	file := strict.Decode(name, text, &d)
	check(file, &d)
	return &d, file.Problems()
}
