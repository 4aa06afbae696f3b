package holder

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

const (
	updateFields = 9
	// maxUpdates limits the updates in one batch.
	maxUpdates = 100_000
	// The flags of an update.
	flagFinished = 1
	flagDrop     = 2
	flagHandOver = 4
)

// EncodeUpdates encodes updates as MessagePack arrays.
func EncodeUpdates(updates []Update) ([]byte, error) {
	out := msgp.AppendArrayHeader(nil, uint32(len(updates)))
	for i := range updates {
		var err error
		if out, err = appendUpdate(out, &updates[i]); err != nil {
			return nil, errors.Wrapf(err, "encode update %d of %d", i+1, len(updates))
		}
	}
	return out, nil
}

func appendUpdate(out []byte, u *Update) ([]byte, error) {
	var record []byte
	if u.Record != nil {
		var err error
		if record, err = json.Marshal(u.Record); err != nil {
			return nil, err
		}
	}
	out = msgp.AppendArrayHeader(out, updateFields)
	out = msgp.AppendUint64(out, uint64(u.Handle))
	out = msgp.AppendInt64(out, u.Term)
	out = msgp.AppendInt64(out, u.Generation)
	out = msgp.AppendInt(out, u.Attempt)
	out = msgp.AppendInt(out, u.Position)
	out = msgp.AppendInt(out, flagsOf(u))
	out = msgp.AppendInt(out, int(u.Outcome))
	out = msgp.AppendBytes(out, record)
	out = msgp.AppendArrayHeader(out, uint32(len(u.Tokens)))
	for _, token := range u.Tokens {
		out = msgp.AppendUint32(out, uint32(token))
	}
	return out, nil
}

func flagsOf(u *Update) int {
	flags := 0
	if u.Finished {
		flags |= flagFinished
	}
	if u.Drop {
		flags |= flagDrop
	}
	if u.HandOver {
		flags |= flagHandOver
	}
	return flags
}

// DecodeUpdates decodes what EncodeUpdates encoded.
func DecodeUpdates(packed []byte) ([]Update, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(packed)
	if err != nil {
		return nil, errors.Wrap(err, "decode updates")
	}
	if count > maxUpdates {
		return nil, errors.Errorf("decode updates: %d exceed the limit of %d", count, maxUpdates)
	}
	var updates []Update
	for i := range count {
		var u Update
		if u, rest, err = readUpdate(rest); err != nil {
			return nil, errors.Wrapf(err, "decode update %d of %d", i+1, count)
		}
		updates = append(updates, u)
	}
	return updates, nil
}

func readUpdate(packed []byte) (Update, []byte, error) {
	fields, rest, err := msgp.ReadArrayHeaderBytes(packed)
	if err != nil {
		return Update{}, nil, err
	}
	if fields != updateFields {
		return Update{}, nil, errors.Errorf("%d fields instead of %d", fields, updateFields)
	}
	handle, rest, err := msgp.ReadUint64Bytes(rest)
	if err != nil {
		return Update{}, nil, err
	}
	var numbers [6]int64
	for i := range numbers {
		if numbers[i], rest, err = msgp.ReadInt64Bytes(rest); err != nil {
			return Update{}, nil, err
		}
	}
	record, rest, err := msgp.ReadBytesZC(rest)
	if err != nil {
		return Update{}, nil, err
	}
	tokens, rest, err := readTokens(rest)
	if err != nil {
		return Update{}, nil, err
	}
	u := Update{
		Handle: Handle(handle), Term: numbers[0], Generation: numbers[1], Attempt: int(numbers[2]),
		Position: int(numbers[3]), Outcome: chicoryhall.Outcome(numbers[5]), Tokens: tokens,
		Finished: numbers[4]&flagFinished != 0, Drop: numbers[4]&flagDrop != 0, HandOver: numbers[4]&flagHandOver != 0,
	}
	if len(record) > 0 {
		u.Record = &chicoryhall.RequestRecord{}
		if err := json.Unmarshal(record, u.Record); err != nil {
			return Update{}, nil, errors.Wrap(err, "record")
		}
	}
	return u, rest, validate(&u)
}

func readTokens(packed []byte) ([]digest.Token, []byte, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(packed)
	if err != nil {
		return nil, nil, err
	}
	if int(count) > len(rest) {
		return nil, nil, errors.Errorf("%d tokens in %d bytes", count, len(rest))
	}
	var tokens []digest.Token
	for range count {
		var token uint32
		if token, rest, err = msgp.ReadUint32Bytes(rest); err != nil {
			return nil, nil, err
		}
		tokens = append(tokens, digest.Token(token))
	}
	return tokens, rest, nil
}

func validate(u *Update) error {
	if u.Position < 0 || u.Attempt < 0 {
		return errors.Errorf("position %d or attempt %d is negative", u.Position, u.Attempt)
	}
	if !u.Outcome.IsAOutcome() {
		return errors.Errorf("unknown outcome %d", int(u.Outcome))
	}
	if u.Record != nil && u.Record.ID == "" {
		return errors.New("the record has no id")
	}
	return nil
}
