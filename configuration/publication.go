package configuration

import (
	"chicoryhall.example/chicoryhall/table"
)

// Publication determines the transaction that writes one new version to the table; it does no I/O.
//
// The caller reads the head row, which holds the VersionRef of the service's newest version, then asks its peers for newer
// versions, and sends the transaction that Transaction returns.
type Publication struct {
	version Version
	nonce   string
}

// NewPublication returns the Publication of version, whose Number must be one more than
// that of the version the operator read; nonce must be random and never used before.
func NewPublication(version Version, nonce string) *Publication {
	return &Publication{version: version, nonce: nonce}
}

// HeadKey returns the key of the head row.
func (p *Publication) HeadKey() string { return headKey(p.version.Service) }

// Transaction returns the transaction to send, given the head row, or a ConflictError if
// another version was accepted since the operator read.
//
// known is the newest version at this daemon and its peers. A table that was restored from a
// backup may lack it; the transaction then adds it too. It must be determined after the head
// was read, so that it includes each version that the table had lost by then.
func (p *Publication) Transaction(head table.Row, found bool, known Version) (table.Transaction, error) {
	ref, err := headRef(head, found)
	if err != nil {
		return table.Transaction{}, err
	}
	newest := max(ref.Number, known.Number)
	if newest != p.version.Number-1 {
		return table.Transaction{}, &ConflictError{Service: p.version.Service, BaseVersion: p.version.Number - 1, NewestVersion: newest}
	}
	// A history row comes first because it is never overwritten: if the answer is lost, table.Settle reads the row of the
	// first change to find out whether the transaction took effect.
	changes := []table.Change{p.insertRow(p.version)}
	if ref.Number < known.Number {
		changes = append(changes, p.insertRow(known))
	}
	changes = append(changes, table.Change{Key: p.HeadKey(), Value: encode(p.version.Ref()), IfVersion: head.Version})
	return table.Transaction{Nonce: p.nonce, Changes: changes}, nil
}

// insertRow returns the change that inserts a version's history row.
func (p *Publication) insertRow(v Version) table.Change {
	return table.Change{Key: historyKey(v.Service, v.Number), Value: encode(v), IfVersion: table.Absent}
}

// Repair returns the transaction that writes a version to a table whose head row is older; head is the zero Row, with
// version table.Absent, if there is none.
func Repair(version Version, head table.Row, nonce string) table.Transaction {
	return table.Transaction{Nonce: nonce, Changes: []table.Change{
		{Key: historyKey(version.Service, version.Number), Value: encode(version), IfVersion: table.Absent},
		{Key: headKey(version.Service), Value: encode(version.Ref()), IfVersion: head.Version},
	}}
}

func headRef(head table.Row, found bool) (VersionRef, error) {
	if !found {
		return VersionRef{}, nil
	}
	return decodeRef(head)
}

// Conflict returns the error to report when each attempt to write this change conflicted with another one. The change
// that was accepted instead has the number of this one. It is reported as the newest version, although newer ones may
// have been accepted since.
func (p *Publication) Conflict() error {
	return &ConflictError{Service: p.version.Service, BaseVersion: p.version.Number - 1, NewestVersion: p.version.Number}
}
