package daemon

import (
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/table"
)

// fileVersion is the version number of every document read from a file.
const fileVersion = 1

// buildTable adds the client of the platform's table service.
func (b *builder) buildTable() error {
	b.table = table.New(b.settings.Platform.Table)
	return nil
}

// buildDocuments adds the service documents. They come from the table and peers, or only from files if the options name any.
func (b *builder) buildDocuments() error {
	config := configuration.Config{
		Self: b.settings.ID, Timer: b.timer, Log: b.log, Seed: xxhash.Sum64String(string(b.settings.ID)),
	}
	if len(b.options.Documents) == 0 {
		config.Table = b.table
	}
	b.configuration = configuration.New(config)
	b.documents = b.configuration
	versions, err := readDocuments(b.options.Documents)
	if err != nil {
		return err
	}
	if len(versions) > 0 {
		b.configuration.Preload(versions)
	}
	return nil
}

// buildConfiguration starts the propagation of documents among the daemons.
func (b *builder) buildConfiguration() error {
	b.configuration.Attach(b.node, b.members)
	b.knowledge.Add(b.configuration)
	return nil
}

func readDocuments(paths []string) ([]configuration.Version, error) {
	var versions []configuration.Version
	for _, path := range paths {
		v, err := readDocument(path)
		if err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	return versions, nil
}

func readDocument(path string) (configuration.Version, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return configuration.Version{}, errors.WithMessage(err, "read document")
	}
	parsed, err := document.Parse(path, text)
	if err != nil {
		return configuration.Version{}, err
	}
	return configuration.Version{
		Service: parsed.Service, Number: fileVersion, Digest: configuration.DigestOf(string(text)), Text: string(text),
	}, nil
}
