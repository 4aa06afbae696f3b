package configuration

import (
	"chicoryhall.example/chicoryhall/table"
)

// Publication decides the steps that write one version into the table; it does no I/O.
//
// The caller reads the head row, asks its peers for newer versions, then sends the transaction that Write returns.
type Publication struct {
	version Version
	nonce   string
}

// NewPublication returns the Publication of version, whose Number is one more than
// that of the version the operator read; nonce is new and random.
func NewPublication(version Version, nonce string) *Publication {
	return &Publication{version: version, nonce: nonce}
}

// HeadKey returns the key of the row to read first.
func (p *Publication) HeadKey() string { return headKey(p.version.Service) }

// Write takes the head row and returns the transaction to send, or a ConflictError when
// another version was accepted since the operator read.
//
// known is the newest version at this daemon and its peers, asked after the head was
// read: a table that was restored from a backup may be behind it.
func (p *Publication) Write(head table.Row, found bool, known Version) (table.Transaction, error) {
	mark, err := headMark(head, found)
	if err != nil {
		return table.Transaction{}, err
	}
	newest := max(mark.Number, known.Number)
	if newest != p.version.Number-1 {
		return table.Transaction{}, &ConflictError{Service: p.version.Service, Read: p.version.Number - 1, Newest: newest}
	}
	changes := []table.Change{p.insert(p.version)}
	if mark.Number < known.Number {
		changes = append(changes, p.insert(known))
	}
	changes = append(changes, table.Change{Key: p.HeadKey(), Value: encode(p.version.Mark()), IfVersion: head.Version})
	return table.Transaction{Nonce: p.nonce, Changes: changes}, nil
}

// insert is the witness of a transaction: a history row is written once and never again.
func (p *Publication) insert(v Version) table.Change {
	return table.Change{Key: historyKey(v.Service, v.Number), Value: encode(v), IfVersion: table.Absent}
}

// Repair returns the transaction that brings a table with an old head up to known.
func Repair(known Version, head table.Row, nonce string) table.Transaction {
	return table.Transaction{Nonce: nonce, Changes: []table.Change{
		{Key: historyKey(known.Service, known.Number), Value: encode(known), IfVersion: table.Absent},
		{Key: headKey(known.Service), Value: encode(known.Mark()), IfVersion: head.Version},
	}}
}

func headMark(head table.Row, found bool) (Mark, error) {
	if !found {
		return Mark{}, nil
	}
	return decodeMark(head)
}

// Lost returns the error of a transaction that another change came before.
func (p *Publication) Lost() error {
	return &ConflictError{Service: p.version.Service, Read: p.version.Number - 1, Newest: p.version.Number}
}
