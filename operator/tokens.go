package operator

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// EnvironmentTokens is the name of the environment variable that holds the tokens, in lines "TEAM TOKEN".
const EnvironmentTokens = "CHICORYHALL_OPERATOR_TOKENS"

// minTokenBytes is the minimum length of a token.
const minTokenBytes = 8

// Tokens maps tokens to teams. It keeps only digests of the tokens.
type Tokens struct {
	entries []tokenEntry
}

type tokenEntry struct {
	team   string
	digest [sha256.Size]byte
}

// LoadTokens reads the tokens from the environment variable or, if that is empty, from the file. If path is empty too,
// there are no tokens, and all requests are refused.
func LoadTokens(path string) (*Tokens, error) {
	if text := os.Getenv(EnvironmentTokens); text != "" {
		tokens, err := ParseTokens(text)
		return tokens, errors.WithMessagef(err, "environment variable %s", EnvironmentTokens)
	}
	if path == "" {
		return &Tokens{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read operator tokens")
	}
	tokens, err := ParseTokens(string(text))
	return tokens, errors.WithMessagef(err, "file %s", path)
}

// ParseTokens parses lines "TEAM TOKEN". It skips empty lines and lines that begin with #.
func ParseTokens(text string) (*Tokens, error) {
	tokens := &Tokens{}
	lines := bufio.NewScanner(strings.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		words := strings.Fields(line)
		if len(words) != 2 || len(words[1]) < minTokenBytes {
			return nil, errors.Errorf("line %d is not \"TEAM TOKEN\" with a token of at least %d characters", number, minTokenBytes)
		}
		tokens.entries = append(tokens.entries, tokenEntry{team: words[0], digest: sha256.Sum256([]byte(words[1]))})
	}
	return tokens, errors.Wrap(lines.Err(), "read operator tokens")
}

// Team returns the team of a token. It takes the same time for any token, so that timing does not reveal tokens.
func (t *Tokens) Team(token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	found := -1
	for i := range t.entries {
		equal := subtle.ConstantTimeCompare(digest[:], t.entries[i].digest[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", false
	}
	return t.entries[found].team, true
}
