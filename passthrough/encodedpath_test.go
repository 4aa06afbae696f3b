package passthrough_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// TestEncodedSlashChoosesNoOtherRule guards against a path that goes by a rule which does not begin it, and past the credential that
// its own rule asks for (ROUTE).
func TestEncodedSlashChoosesNoOtherRule(t *testing.T) {
	set := testRules()
	open := set.Rules[1]
	open.Name, open.Prefix, open.Anonymous = "open", "/unsafe/open/", true
	open.Targets = []chicoryhall.RuleTarget{{Service: "other", Weight: 1}}
	set.Rules = append(set.Rules, open)
	e := newEndpoint(t, answerWith("hello"))
	w := startServer(t, set, e)
	const withoutKey = "POST /unsafe/open%2F1/7 HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	must.Eq(t, http.StatusUnauthorized, w.ask(t, withoutKey).status)
	must.Len(t, 0, e.requests())
	must.Eq(t, http.StatusOK, w.ask(t, requestText("POST", "/unsafe/open%2F1/7", "2", "x")).status)
	must.Eq(t, "/unsafe/open%2F1/7", e.requests()[0].RequestURI)
	w.logs.await(t, "event=2040", "request=2", "service=s")
}
