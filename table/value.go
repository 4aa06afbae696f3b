package table

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// EncodeValue returns the text of a row's value; T must have no field that JSON cannot write.
func EncodeValue[T any](value T) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // T is not a type for a row's value.
	}
	return string(text)
}

// DecodeValue reads a row's value; that of an absent row is the zero value.
func DecodeValue[T any](row Row) (T, error) {
	var value T
	if row.Version == Absent {
		return value, nil
	}
	err := json.Unmarshal([]byte(row.Value), &value)
	return value, errors.Wrapf(err, "decode row %s of the table", row.Key)
}
