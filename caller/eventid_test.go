package caller

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/digest"
)

func prefixOfTokens(tokens ...digest.Token) answerPrefix {
	var p answerPrefix
	for _, token := range tokens {
		p = p.extend(token)
	}
	return p
}

func TestEventIDs(t *testing.T) {
	id := string(prefixOfTokens(7, 8, 9).appendEventID(nil))
	read, err := parseEventID(id)
	must.NoError(t, err)
	must.Eq(t, prefixOfTokens(7, 8, 9), read)
	for _, text := range []string{"", "2", "2-", "x-00000000", "-1-00000000", "2-0000000g", "2-000000000"} {
		_, err := parseEventID(text)
		must.Error(t, err, must.Sprint(text))
	}
}

// TestPrefixIsChecked gives an eventWriter tokens from the first position on, as another daemon
// would. The eventWriter must accept them only if they begin with the tokens that the caller has.
func TestPrefixIsChecked(t *testing.T) {
	type call struct {
		position int
		tokens   []digest.Token
	}
	cases := []struct {
		name     string
		has      answerPrefix
		calls    []call
		accepted bool
	}{
		{"the same answer", prefixOfTokens(7, 8), []call{{0, []digest.Token{7, 8, 9}}}, true},
		{"the same answer in pieces", prefixOfTokens(7, 8), []call{{0, []digest.Token{7}}, {1, []digest.Token{8, 9}}}, true},
		{"another answer", prefixOfTokens(7, 8), []call{{0, []digest.Token{7, 5, 9}}}, false},
		{"another answer after the first", answerPrefix{}, []call{{0, []digest.Token{7, 8}}, {0, []digest.Token{7, 5, 9}}}, false},
		{"the same answer again", answerPrefix{}, []call{{0, []digest.Token{7, 8}}, {0, []digest.Token{7, 8, 9}}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newEventWriter(nil, c.has)
			accepted := true
			for _, call := range c.calls {
				accepted = accepted && w.addTokens(call.position, call.tokens) && w.checkPrefix()
				for w.confirmed && len(w.tokens) > w.callerHas.tokens {
					w.callerHas = w.callerHas.extend(w.tokens[w.callerHas.tokens])
				}
			}
			must.Eq(t, c.accepted, accepted)
		})
	}
}
