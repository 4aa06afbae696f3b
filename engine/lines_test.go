package engine

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const stageFailedLine = `{"kind":"stage-failed","attempt":2,"position":0,"token":0,"engine":"e1","refusal":"unreachable"}`

// eventLines are seeds of the fuzz tests.
var eventLines = []string{
	`{"kind":"token","attempt":1,"position":0,"token":4294967295}`,
	`{"kind":"token","attempt":1,"position":0,"token":4294967296}`,
	`{"kind":"token","attempt":01,"position":0,"token":1}`,
	`{"kind":"token","attempt":-1,"position":0,"token":1}`,
	`{"kind":"token","attempt":1,"position":0,"token":1e3}`,
	`{"kind":"token","attempt":99999999999999999999,"position":0,"token":1}`,
	`{"kind":"token","attempt":1,"position":0,"token":1} `,
	`{"kind":"token","attempt":1,"position":0,"token":1}{}`,
	`{"kind":"token","attempt":1,"position":0,"token":1,"engine":"e1"}`,
	stageFailedLine,
	`{"kind":"waiting","attempt":1,"position":3,"token":0,"engine":"e2","waitedMillis":120}`,
	`{"kind":"none"}`, `{"kind":1}`, `[]`, `null`, `{`, ``,
}

// FuzzDecodeEvent compares DecodeEvent with encoding/json.
func FuzzDecodeEvent(f *testing.F) {
	for _, line := range eventLines {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		got, err := DecodeEvent(line)
		var want Event
		wantErr := json.Unmarshal(line, &want)
		must.Eq(t, wantErr == nil, err == nil)
		if err == nil {
			must.Eq(t, want, got)
		}
	})
}

// FuzzLineDecoder cuts an answer into pieces and expects lineDecoder to return the events of the
// whole answer.
func FuzzLineDecoder(f *testing.F) {
	f.Add(strings.Join(eventLines[:1], "\n")+"\n\n"+stageFailedLine+"\n", 7, 60)
	f.Add(eventLines[0]+"\n"+eventLines[0]+"\n", 0, 1)
	f.Add("{\n", 1, 1)
	f.Fuzz(func(t *testing.T, text string, first, second int) {
		first = max(0, min(first, len(text)))
		second = max(first, min(second, len(text)))
		var whole, cut lineDecoder
		want, wantErr := whole.decode(nil, []byte(text))
		var got []Event
		var err error
		for _, piece := range []string{text[:first], text[first:second], text[second:]} {
			if err == nil {
				got, err = cut.decode(got, []byte(piece))
			}
		}
		must.Eq(t, wantErr == nil, err == nil)
		must.Eq(t, want, got)
	})
}

// TestLongLine checks that an engine that sends no line ends cannot make the daemon buffer more
// than maxLineBytes.
func TestLongLine(t *testing.T) {
	var decoder lineDecoder
	piece := []byte(strings.Repeat("x", maxLineBytes/2+1))
	_, err := decoder.decode(nil, piece)
	must.NoError(t, err)
	_, err = decoder.decode(nil, piece)
	must.ErrorIs(t, err, errLongLine)
}

// BenchmarkDecodeEvent measures the decoding of one line with a token.
func BenchmarkDecodeEvent(b *testing.B) {
	line := []byte(eventLines[0])
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeEvent(line); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeEventJSON measures the decoding of the same line by encoding/json.
func BenchmarkDecodeEventJSON(b *testing.B) {
	line := []byte(eventLines[0])
	b.ReportAllocs()
	for b.Loop() {
		var event Event
		if err := json.Unmarshal(line, &event); err != nil {
			b.Fatal(err)
		}
	}
}
