package watch

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxSightings bounds the sightings in one message.
	maxSightings = 10_000
	// fullPercent is the KVPercent of an engine without free KV memory.
	fullPercent = 100
)

// EndpointHash identifies an endpoint in a message. Receivers ignore the sightings of endpoints whose hashes
// collide; each daemon polls those endpoints itself.
type EndpointHash uint32

func hashOf(id chicoryhall.EndpointID) EndpointHash {
	return EndpointHash(xxhash.Sum64String(string(id)) & math.MaxUint32)
}

// Sighting is the state and load of one endpoint as daemons send it to each other. Incarnation, AsOfMillis,
// Running, Waiting and StepMicros are those of the endpoint's last LoadReport that the sender knows.
type Sighting struct {
	Endpoint EndpointHash
	// State is the endpoint's state according to the sender. It may differ from that in the report: the sender
	// may know from elsewhere that the endpoint is suspect, dead or leaving.
	State       chicoryhall.EndpointState
	Incarnation int64
	AsOfMillis  int64
	Running     int
	Waiting     int
	// KVPercent is the used part of the KV memory in percent.
	KVPercent  int
	StepMicros int64
	// MatchesDocument is set if the endpoint has loaded exactly the layers in its document; LoadedLayers is empty then.
	MatchesDocument bool
	LoadedLayers    []chicoryhall.LayerRange
}

// EncodeSightings encodes sightings as MessagePack, with times relative to baseMillis.
func EncodeSightings(sightings []Sighting, baseMillis int64) []byte {
	out := msgp.AppendInt64(nil, baseMillis)
	out = msgp.AppendArrayHeader(out, uint32(len(sightings)))
	for i := range sightings {
		out = appendSighting(out, &sightings[i], baseMillis)
	}
	return out
}

// EncodeWanted encodes the hashes of the endpoints that a daemon asks for.
func EncodeWanted(wanted []EndpointHash) []byte {
	out := msgp.AppendArrayHeader(nil, uint32(len(wanted)))
	for _, hash := range wanted {
		out = msgp.AppendUint32(out, uint32(hash))
	}
	return out
}

// DecodeWanted decodes the output of EncodeWanted.
func DecodeWanted(packed []byte) ([]EndpointHash, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(packed)
	if err != nil {
		return nil, errors.Wrap(err, "decode wanted endpoints")
	}
	if int(count) > len(rest) {
		return nil, errors.Errorf("decode wanted endpoints: %d in %d bytes", count, len(rest))
	}
	wanted := make([]EndpointHash, count)
	for i := range wanted {
		var hash uint32
		if hash, rest, err = msgp.ReadUint32Bytes(rest); err != nil {
			return nil, errors.Wrap(err, "decode wanted endpoints")
		}
		wanted[i] = EndpointHash(hash)
	}
	return wanted, nil
}

func appendSighting(out []byte, s *Sighting, baseMillis int64) []byte {
	out = msgp.AppendUint32(out, uint32(s.Endpoint))
	out = msgp.AppendInt(out, int(s.State))
	out = msgp.AppendInt64(out, s.Incarnation)
	out = msgp.AppendInt64(out, s.AsOfMillis-baseMillis)
	out = msgp.AppendInt(out, s.Running)
	out = msgp.AppendInt(out, s.Waiting)
	out = msgp.AppendInt(out, s.KVPercent)
	out = msgp.AppendInt64(out, s.StepMicros)
	if s.MatchesDocument {
		return msgp.AppendNil(out)
	}
	out = msgp.AppendArrayHeader(out, uint32(len(s.LoadedLayers)))
	for _, layer := range s.LoadedLayers {
		out = msgp.AppendString(out, layer.Model)
		out = msgp.AppendString(out, layer.Version)
		out = msgp.AppendInt(out, layer.From)
		out = msgp.AppendInt(out, layer.To)
	}
	return out
}

// DecodeSightings decodes the output of EncodeSightings.
func DecodeSightings(packed []byte) ([]Sighting, error) {
	base, rest, err := msgp.ReadInt64Bytes(packed)
	if err != nil {
		return nil, errors.Wrap(err, "decode sightings")
	}
	count, rest, err := msgp.ReadArrayHeaderBytes(rest)
	if err != nil {
		return nil, errors.Wrap(err, "decode sightings")
	}
	if count > maxSightings {
		return nil, errors.Errorf("decode sightings: %d exceed the limit of %d", count, maxSightings)
	}
	var sightings []Sighting
	for i := range count {
		var s Sighting
		if s, rest, err = readSighting(rest, base); err != nil {
			return nil, errors.Wrapf(err, "decode sighting %d of %d", i+1, count)
		}
		sightings = append(sightings, s)
	}
	return sightings, nil
}

func readSighting(packed []byte, baseMillis int64) (Sighting, []byte, error) {
	hash, rest, err := msgp.ReadUint32Bytes(packed)
	if err != nil {
		return Sighting{}, nil, err
	}
	var numbers [7]int64
	for i := range numbers {
		if numbers[i], rest, err = msgp.ReadInt64Bytes(rest); err != nil {
			return Sighting{}, nil, err
		}
	}
	s := Sighting{
		Endpoint: EndpointHash(hash), State: chicoryhall.EndpointState(numbers[0]), Incarnation: numbers[1],
		AsOfMillis: baseMillis + numbers[2], Running: int(numbers[3]), Waiting: int(numbers[4]),
		KVPercent: int(numbers[5]), StepMicros: numbers[6],
	}
	if !s.State.IsAEndpointState() {
		return Sighting{}, nil, errors.Errorf("unknown state %d", int(s.State))
	}
	if msgp.IsNil(rest) {
		s.MatchesDocument = true
		return s, rest[1:], nil
	}
	s.LoadedLayers, rest, err = readLayers(rest)
	return s, rest, err
}

func readLayers(packed []byte) ([]chicoryhall.LayerRange, []byte, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(packed)
	if err != nil {
		return nil, nil, err
	}
	var layers []chicoryhall.LayerRange
	for range count {
		var layerRange chicoryhall.LayerRange
		if layerRange.Model, rest, err = msgp.ReadStringBytes(rest); err != nil {
			return nil, nil, err
		}
		if layerRange.Version, rest, err = msgp.ReadStringBytes(rest); err != nil {
			return nil, nil, err
		}
		if layerRange.From, rest, err = msgp.ReadIntBytes(rest); err != nil {
			return nil, nil, err
		}
		if layerRange.To, rest, err = msgp.ReadIntBytes(rest); err != nil {
			return nil, nil, err
		}
		layers = append(layers, layerRange)
	}
	return layers, rest, nil
}
