package entry

import (
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/operator"
	"chicoryhall.example/chicoryhall/table/tabletest"
	"chicoryhall.example/chicoryhall/timer"
)

const testTokens = "replies token-of-replies\nbookings token-of-bookings\n"

// storeKey is the key of a script's table among its values.
type storeKey struct{}

// startServer serves the operator API of one daemon for a script, at the address $SERVER.
//
// It uses net/http instead of nbio: the programs that a script starts inherit
// nbio's sockets, and epoll then reports events of closed sockets on new ones.
func startServer(env *testscript.Env) error {
	store := &tabletest.Store{}
	env.Values[storeKey{}] = store
	tokens, err := operator.ParseTokens(testTokens)
	if err != nil {
		return err
	}
	logger := event.NewLogger(io.Discard, "test", log.InfoLevel)
	clock := timer.NewManual(time.Date(2026, 12, 3, 20, 0, 0, 0, time.UTC))
	documents := configuration.New(configuration.Config{Self: "hall-1", Timer: clock, Table: store, Log: logger})
	server := httptest.NewServer(operator.NewServer(operator.Config{Documents: documents, Tokens: tokens, Log: logger}).Handler())
	env.Defer(server.Close)
	env.Setenv("SERVER", server.Listener.Addr().String())
	return nil
}

// setTable implements the script commands "table down", "table up" and "table lose", which loses the next answer.
func setTable(ts *testscript.TestScript, _ bool, arguments []string) {
	store := ts.Value(storeKey{}).(*tabletest.Store)
	switch arguments[0] {
	case "down":
		store.SetDown(true)
	case "up":
		store.SetDown(false)
	case "lose":
		store.LoseAnswers(1)
	default:
		ts.Fatalf("table has no action %q", arguments[0])
	}
}

// edit implements the script command "edit FILE BEFORE AFTER": it replaces a text that must occur once in the file.
func edit(ts *testscript.TestScript, _ bool, arguments []string) {
	path, before, after := ts.MkAbs(arguments[0]), arguments[1], arguments[2]
	text, err := os.ReadFile(path)
	ts.Check(err)
	if strings.Count(string(text), before) != 1 {
		ts.Fatalf("%s does not hold %q once", arguments[0], before)
	}
	ts.Check(os.WriteFile(path, []byte(strings.Replace(string(text), before, after, 1)), 0o600))
}

func TestTokenErrorsDoNotContainTokens(t *testing.T) {
	_, err := operator.ParseTokens("replies short\n")
	must.ErrorContains(t, err, "line 1")
	must.StrNotContains(t, err.Error(), "short")
}
