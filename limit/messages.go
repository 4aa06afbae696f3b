package limit

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"chicoryhall.example/chicoryhall"
)

// Method is the name of the method that daemons call on each other with a LoanRequest. It returns a
// Grant.
const Method = "limit.ask"

// maxRates bounds the number of rates in one message.
const maxRates = 24

// Key identifies a rate limit in messages. It is a hash of the service and the organisation, which
// is shorter than their names.
type Key uint64

// KeyOf returns the Key of an organisation's rate limit at a service.
func KeyOf(service chicoryhall.ServiceName, organisation chicoryhall.Organisation) Key {
	return Key(xxhash.Sum64String(string(service) + "\x00" + string(organisation)))
}

// Rate is a part of a rate limit, in requests per second, that is requested or lent.
type Rate struct {
	Key       Key
	PerSecond float64
}

// LoanRequest asks a daemon of the same failure domain to lend parts of rate limits. From is the
// borrower; Lend does not need it.
type LoanRequest struct {
	From  chicoryhall.DaemonID `json:"f"`
	Rates Rates                `json:"w"`
}

// Grant lists the loans given. Each is valid for LoanLifetime, which the borrower counts from just
// before it sent the LoanRequest.
type Grant struct {
	Loans Rates `json:"l"`
}

// Rates is encoded as MessagePack, because field names would take up most of a message. Rates per
// second are rounded to float32.
type Rates []Rate

// MarshalBinary encodes the rates as MessagePack.
func (r Rates) MarshalBinary() ([]byte, error) {
	packed := msgp.AppendArrayHeader(nil, uint32(len(r)))
	for _, rate := range r {
		packed = msgp.AppendUint64(packed, uint64(rate.Key))
		packed = msgp.AppendFloat32(packed, float32(rate.PerSecond))
	}
	return packed, nil
}

// UnmarshalBinary decodes the output of MarshalBinary.
func (r *Rates) UnmarshalBinary(packed []byte) error {
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
	*r = read
	return nil
}

// MarshalJSON encodes the MessagePack form of the rates as a base64 string.
func (r Rates) MarshalJSON() ([]byte, error) {
	packed, err := r.MarshalBinary()
	if err != nil {
		return nil, err
	}
	return json.Marshal(packed)
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (r *Rates) UnmarshalJSON(text []byte) error {
	var packed []byte
	if err := json.Unmarshal(text, &packed); err != nil {
		return errors.Wrap(err, "read packed rates")
	}
	return r.UnmarshalBinary(packed)
}
