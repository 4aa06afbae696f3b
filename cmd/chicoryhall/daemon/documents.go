package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/document"
)

// fileVersion is the version of every document that was read from a file.
const fileVersion = 1

// fileDocuments is a chicoryhall.Documents whose documents never change.
type fileDocuments struct {
	all []chicoryhall.InForce
}

func (b *builder) buildDocuments() error {
	documents, err := readDocuments(b.options.Documents)
	if err != nil {
		return err
	}
	b.documents = documents
	return nil
}

func readDocuments(paths []string) (*fileDocuments, error) {
	documents := &fileDocuments{}
	for _, path := range paths {
		inForce, err := readDocument(path)
		if err != nil {
			return nil, err
		}
		documents.all = append(documents.all, inForce)
	}
	slices.SortFunc(documents.all, func(a, b chicoryhall.InForce) int {
		return strings.Compare(string(a.Document.Service), string(b.Document.Service))
	})
	return documents, nil
}

func readDocument(path string) (chicoryhall.InForce, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return chicoryhall.InForce{}, errors.WithMessage(err, "read document")
	}
	parsed, err := document.Parse(path, text)
	if err != nil {
		return chicoryhall.InForce{}, err
	}
	sum := sha256.Sum256(text)
	return chicoryhall.InForce{Document: parsed, Version: fileVersion, Digest: hex.EncodeToString(sum[:])}, nil
}

// InForce returns the document of one service.
func (d *fileDocuments) InForce(service chicoryhall.ServiceName) (chicoryhall.InForce, bool) {
	for _, inForce := range d.all {
		if inForce.Document.Service == service {
			return inForce, true
		}
	}
	return chicoryhall.InForce{}, false
}

// All returns every document.
func (d *fileDocuments) All() []chicoryhall.InForce { return d.all }

// Subscribe does nothing, as files are read once.
func (d *fileDocuments) Subscribe(func(chicoryhall.InForce)) {}
