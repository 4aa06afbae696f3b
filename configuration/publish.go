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
	// BaseVersion is the number of the version that the operator read, 0 for none.
	BaseVersion int64
	Author      string
}

// Publish writes a change to the table, provided that proposal.BaseVersion is still the newest version, and makes it
// the current version at this daemon. The caller must have checked proposal.Text with document.Parse: an invalid text
// would be written to the table but never become current.
//
// The error is a *ConflictError if another change was accepted first. It wraps a *table.Error if a call to the table
// failed; other errors mean that the head row is damaged or that the documents come from files.
func (d *Documents) Publish(ctx context.Context, proposal Proposal) (Version, error) {
	if d.table == nil {
		return Version{}, errors.New("the documents of this daemon come from files; edit those")
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	v := Version{
		Service: proposal.Service, Number: proposal.BaseVersion + 1, Text: proposal.Text,
		Digest: DigestOf(proposal.Text), Author: proposal.Author, AcceptedMillis: d.config.Timer.Now().UnixMilli(),
	}
	if err := d.write(ctx, NewPublication(v, rand.Text())); err != nil {
		d.poll(ctx) // Updates the newest version, which the operator API adds to its report of the error.
		return Version{}, err
	}
	d.config.Log.Log(event.DocumentAccepted, "service", v.Service, "version", v.Number, "digest", v.Digest, "team", v.Author)
	d.apply(v, "")
	return v, nil
}

// publishAttempts bounds the attempts to write a change; one that conflicts with another change is followed by another
// read of the head row.
const publishAttempts = 3

func (d *Documents) write(ctx context.Context, publication *Publication) error {
	for range publishAttempts {
		head, found, err := d.table.Row(ctx, publication.HeadKey())
		if err != nil {
			return errors.WithMessage(err, "publish document")
		}
		d.fetchFromPeers(ctx)
		known, _ := d.Version(publication.version.Service)
		transaction, err := publication.Transaction(head, found, known)
		if err != nil {
			return err
		}
		_, err = table.Settle(ctx, d.table, transaction)
		if _, conflict := table.AsConflict(err); !conflict {
			return errors.WithMessage(err, "publish document")
		}
	}
	return publication.Conflict()
}

// History returns all versions of a service from the table, oldest first. Without a table it returns the newest version
// only.
func (d *Documents) History(ctx context.Context, service chicoryhall.ServiceName) ([]Version, error) {
	if d.table == nil {
		v, _ := d.Version(service)
		return []Version{v}, nil
	}
	rows, err := d.table.Rows(ctx, historyPrefix+string(service)+"/")
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
