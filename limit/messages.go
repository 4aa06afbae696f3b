package limit

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"chicoryhall.example/chicoryhall"
)

// Method is the name under which a daemon answers an Ask of its peers.
const Method = "limit.ask"

// maxRates bounds the rates of one message.
const maxRates = 24

// Key names one limited rate in messages: a hash of the service and the organisation.
type Key uint64

// KeyOf returns the Key of an organisation's rate at a service.
func KeyOf(service chicoryhall.ServiceName, organisation chicoryhall.Organisation) Key {
	return Key(xxhash.Sum64String(string(service) + "\x00" + string(organisation)))
}

// Rate is a rate in requests per second that a daemon lacks, or lends.
type Rate struct {
	Key       Key
	PerSecond float64
}

// LoanRequest asks a daemon of the same failure domain for rates.
type LoanRequest struct {
	From  chicoryhall.DaemonID `json:"f"`
	Rates Rates                `json:"w"`
}

// Grant lends rates for LoanLifetime, counted by the borrower from when it asked.
type Grant struct {
	Loans Rates `json:"l"`
}

// Rates are packed by MessagePack, since names would fill most of a message.
type Rates []Rate

// MarshalBinary packs the rates.
func (w Rates) MarshalBinary() ([]byte, error) {
	packed := msgp.AppendArrayHeader(nil, uint32(len(w)))
	for _, want := range w {
		packed = msgp.AppendUint64(packed, uint64(want.Key))
		packed = msgp.AppendFloat32(packed, float32(want.PerSecond))
	}
	return packed, nil
}

// UnmarshalBinary reads what MarshalBinary packed.
func (w *Rates) UnmarshalBinary(packed []byte) error {
	count, rest, err := msgp.ReadArrayHeaderBytes(packed)
	if err != nil || count > maxRates {
		return errors.Errorf("read wanted rates: a list of %d, at most %d are allowed (%v)", count, maxRates, err)
	}
	read := make(Rates, 0, count)
	for range count {
		var key uint64
		var rate float32
		if key, rest, err = msgp.ReadUint64Bytes(rest); err != nil {
			return errors.Wrap(err, "read the key of a wanted rate")
		}
		if rate, rest, err = msgp.ReadFloat32Bytes(rest); err != nil {
			return errors.Wrap(err, "read a wanted rate")
		}
		read = append(read, Rate{Key: Key(key), PerSecond: float64(rate)})
	}
	*w = read
	return nil
}

// MarshalJSON writes the packed rates as a base64 string.
func (w Rates) MarshalJSON() ([]byte, error) {
	packed, err := w.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (w *Rates) UnmarshalJSON(text []byte) error {
	var packed []byte
	if err := json.Unmarshal(text, &packed); err != nil {
		return errors.Wrap(err, "read packed rates")
	}
	return w.UnmarshalBinary(packed)
}
