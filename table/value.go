package table

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// EncodeValue encodes a row's value as JSON; T must be a type that can always be encoded.
func EncodeValue[T any](value T) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // JSON cannot encode T.
	}
	return string(text)
}

// DecodeValue decodes a row's value. For a Row whose Version is Absent it returns the zero value of T.
func DecodeValue[T any](row Row) (T, error) {
	var value T
	if row.Version == Absent {
		return value, nil
	}
	err := json.Unmarshal([]byte(row.Value), &value)
	return value, errors.Wrapf(err, "decode row %s of the table", row.Key)
}
