package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
)

// namesText maps the words of the stand-ins to the names on the platform's pages, which Go files outside of platform/ must not contain.
//
//go:embed names.json
var namesText []byte

var names = readNames()

func readNames() map[string]string {
	all := make(map[string]string)
	if err := json.Unmarshal(namesText, &all); err != nil {
		panic(err)
	}
	return all
}

// fromWire replaces the names of fields in a body by the words of the stand-ins.
func fromWire(body []byte) []byte {
	for _, word := range []string{"version", "writes"} {
		body = bytes.ReplaceAll(body, []byte(`"`+names[word]+`":`), []byte(`"`+word+`":`))
	}
	return body
}

// toWire replaces the words of the stand-ins in a body by the names of fields.
func toWire(body []byte) []byte {
	return bytes.ReplaceAll(body, []byte(`"version":`), []byte(`"`+names["version"]+`":`))
}
