package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/table"
)

// The key prefixes of the table's rows.
//
// A service has one head row with the VersionRef of its newest version, and one history row for each version.
const (
	headPrefix    = "documents/head/"
	historyPrefix = "documents/history/"
)

// Version is one accepted version of a service's document.
type Version struct {
	Service chicoryhall.ServiceName `json:"service"`
	// Number grows by one with each accepted change of the service, from 1.
	Number int64 `json:"number"`
	// Digest is the hex SHA-256 of Text.
	Digest string `json:"digest"`
	Text   string `json:"text"`
	// Author is the team whose token changed the document.
	Author string `json:"author"`
	// AcceptedMillis is the time of the change in Unix milliseconds, by the clock of the daemon that published it.
	AcceptedMillis int64 `json:"acceptedMillis"`
}

// VersionRef identifies one version of a service's document.
type VersionRef struct {
	Service chicoryhall.ServiceName `json:"service"`
	Number  int64                   `json:"number"`
	Digest  string                  `json:"digest"`
}

// Ref returns the reference to the version.
func (v Version) Ref() VersionRef {
	return VersionRef{Service: v.Service, Number: v.Number, Digest: v.Digest}
}

// ETag returns the entity tag of the version, for If-Match: its number and the first 12 digits of its digest.
func (v Version) ETag() string {
	return fmt.Sprintf("\"%d-%.12s\"", v.Number, v.Digest)
}

// DigestOf returns the hex SHA-256 of a document's text.
func DigestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func headKey(service chicoryhall.ServiceName) string {
	return headPrefix + string(service)
}

// historyKey returns the key of a history row; the number is zero-padded so that keys sort in the order of numbers.
func historyKey(service chicoryhall.ServiceName, number int64) string {
	return fmt.Sprintf("%s%s/%012d", historyPrefix, service, number)
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // The types of this package always encode.
	}
	return string(text)
}

func decodeRef(row table.Row) (VersionRef, error) {
	var ref VersionRef
	err := json.Unmarshal([]byte(row.Value), &ref)
	return ref, errors.Wrapf(err, "decode row %s of the table", row.Key)
}

func decodeVersion(row table.Row) (Version, error) {
	var v Version
	if err := json.Unmarshal([]byte(row.Value), &v); err != nil {
		return Version{}, errors.Wrapf(err, "decode row %s of the table", row.Key)
	}
	return v, nil
}
