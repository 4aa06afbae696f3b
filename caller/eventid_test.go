package caller

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/digest"
)

func prefixOfTokens(tokens ...digest.Token) prefix {
	var p prefix
	for _, token := range tokens {
		p = p.with(token)
	}
	return p
}

func TestEventIDs(t *testing.T) {
	id := string(prefixOfTokens(7, 8, 9).appendID(nil))
	read, err := parseID(id)
	must.NoError(t, err)
	must.Eq(t, prefixOfTokens(7, 8, 9), read)
	for _, text := range []string{"", "2", "2-", "x-00000000", "-1-00000000", "2-0000000g", "2-000000000"} {
		_, err := parseID(text)
		must.Error(t, err, must.Sprint(text))
	}
}

// TestPrefixIsConfirmed gives a writer tokens from the first position as another daemon would.
// Mutation that it catches: a confirm that compares the number of tokens alone.
func TestPrefixIsConfirmed(t *testing.T) {
	type call struct {
		position int
		tokens   []digest.Token
	}
	cases := []struct {
		name  string
		has   prefix
		calls []call
		same  bool
	}{
		{"the same answer", prefixOfTokens(7, 8), []call{{0, []digest.Token{7, 8, 9}}}, true},
		{"the same answer in pieces", prefixOfTokens(7, 8), []call{{0, []digest.Token{7}}, {1, []digest.Token{8, 9}}}, true},
		{"another answer", prefixOfTokens(7, 8), []call{{0, []digest.Token{7, 5, 9}}}, false},
		{"another answer after the first", prefix{}, []call{{0, []digest.Token{7, 8}}, {0, []digest.Token{7, 5, 9}}}, false},
		{"the same answer again", prefix{}, []call{{0, []digest.Token{7, 8}}, {0, []digest.Token{7, 8, 9}}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newEventWriter(nil, c.has)
			same := true
			for _, call := range c.calls {
				same = same && w.take(call.position, call.tokens) && w.confirm()
				for w.confirmed && len(w.tokens) > w.has.tokens {
					w.has = w.has.with(w.tokens[w.has.tokens])
				}
			}
			must.Eq(t, c.same, same)
		})
	}
}
