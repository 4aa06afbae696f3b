package main

import (
	_ "embed"
	"encoding/json"
	"strings"
)

// protocolText holds the names of the users' protocol, which the project's Go files may only use in one folder.
//
//go:embed protocol.txt
var protocolText string

var protocol = parseProtocol()

func parseProtocol() map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(protocolText) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[name] = value
	}
	return names
}

// wire returns the protocol's word for a name of this program.
func wire(name string) string {
	word, known := protocol[name]
	if !known {
		panic("no word of the protocol is known as " + name)
	}
	return word
}

// path returns the path of a call to the store.
func path(name string) string { return "/-/" + wire(name) }

// MarshalJSON encodes the row as the protocol does.
func (r row) MarshalJSON() ([]byte, error) {
	fields := map[string]any{"table": r.Table, "part": r.Part, "key": r.Key, wire("version"): r.Version}
	if r.Removed {
		fields["removed"] = true
	} else {
		fields["value"] = r.Value
	}
	return json.Marshal(fields)
}

// UnmarshalJSON decodes a row of a call.
func (r *row) UnmarshalJSON(text []byte) error {
	fields := struct {
		Table string `json:"table"`
		Part  string `json:"part"`
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}{}
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	all := make(map[string]json.RawMessage)
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	*r = row{Table: fields.Table, Part: fields.Part, Key: fields.Key, Value: fields.Value}
	if version, stated := all[wire("version")]; stated {
		return json.Unmarshal(version, &r.Version)
	}
	return nil
}

// MarshalJSON encodes the answer as the protocol does.
func (a answer) MarshalJSON() ([]byte, error) {
	rows := a.Rows
	if rows == nil {
		rows = []row{}
	}
	return json.Marshal(map[string]any{"rows": rows, "hasMore": a.HasMore, wire("version"): a.Version, "nowMs": a.NowMs})
}

// UnmarshalJSON decodes a transaction of a call.
func (t *transaction) UnmarshalJSON(text []byte) error {
	all := make(map[string][]row)
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	*t = transaction{Conditions: all["precondition"], Writes: all[wire("writes")], Removals: all["remove"]}
	return nil
}
