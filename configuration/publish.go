package configuration

import (
	"context"
	"crypto/rand"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/table"
)

// Proposal is a proposed change of one service's document.
type Proposal struct {
	Service chicoryhall.ServiceName
	Text    string
	// Read is the number of the version that the operator read, 0 for none.
	Read   int64
	Author string
}

// Publish writes a change to the table, provided that the version read is still the newest, and makes it the current
// version at this daemon.
//
// The error is a *ConflictError if another change was accepted first, or wraps a *table.Error.
func (s *Service) Publish(ctx context.Context, proposal Proposal) (Version, error) {
	if s.table == nil {
		return Version{}, errors.New("the documents of this daemon come from files; edit those")
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	v := Version{
		Service: proposal.Service, Number: proposal.Read + 1, Text: proposal.Text,
		Digest: DigestOf(proposal.Text), Author: proposal.Author, AcceptedMillis: s.config.Timer.Now().UnixMilli(),
	}
	if err := s.write(ctx, NewPublication(v, rand.Text())); err != nil {
		s.poll(ctx) // The operator is then shown the difference to the newest version.
		return Version{}, err
	}
	s.config.Log.Log(event.DocumentAccepted, "service", v.Service, "version", v.Number, "digest", v.Digest, "team", v.Author)
	s.apply(v, "")
	return v, nil
}

// maxPublishAttempts bounds how often the head row is read again after the transaction conflicted with another.
const maxPublishAttempts = 3

func (s *Service) write(ctx context.Context, publication *Publication) error {
	for range maxPublishAttempts {
		head, found, err := s.table.Row(ctx, publication.HeadKey())
		if err != nil {
			return errors.WithMessage(err, "publish document")
		}
		s.fetchFromPeers(ctx)
		known, _ := s.Version(publication.version.Service)
		transaction, err := publication.Write(head, found, known)
		if err != nil {
			return err
		}
		_, err = table.Settle(ctx, s.table, transaction)
		if _, conflict := table.IsConflict(err); !conflict {
			return errors.WithMessage(err, "publish document")
		}
	}
	return publication.Lost()
}

// History returns all versions of a service from the table, oldest first. Without a table it returns the newest version
// only.
func (s *Service) History(ctx context.Context, service chicoryhall.ServiceName) ([]Version, error) {
	if s.table == nil {
		v, _ := s.Version(service)
		return []Version{v}, nil
	}
	rows, err := s.table.Rows(ctx, historyPrefix+string(service)+"/")
	if err != nil {
		return nil, errors.WithMessage(err, "read history")
	}
	versions := make([]Version, 0, len(rows))
	for _, row := range rows {
		v, err := decodeVersion(row)
		if err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	return versions, nil
}
