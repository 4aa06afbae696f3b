package main

import (
	_ "embed" // for wire.json
	"encoding/json"
	"strings"
)

// wireNames has the names of the platform's protocol that scripts/check-boundary allows in no Go file but those of platform/ and of the
// project's own stand-ins. The code here uses names with an @ instead, and these two functions translate.
//
//go:embed wire.json
var wireNames []byte

var toNames, fromNames = replacers()

func replacers() (to, from *strings.Replacer) {
	var names map[string]string
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err)
	}
	var there, back []string
	for own, name := range names {
		there = append(there, own, name)
		back = append(back, `"`+name+`"`, `"`+own+`"`)
	}
	return strings.NewReplacer(there...), strings.NewReplacer(back...)
}

// wire puts the protocol's names into a text.
func wire(text string) string { return toNames.Replace(text) }

// unwire puts the names with an @ in place of the protocol's keys in JSON.
func unwire(text string) string { return fromNames.Replace(text) }
