package proof

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"chicoryhall.example/chicoryhall/caller"
)

// callTimeout bounds one call in a session.
const callTimeout = 15 * time.Second

// sessionKey is the key of a script's session among its values.
type sessionKey struct{}

// session is the state shared by the calls of one script.
type session struct {
	// requests are the request IDs in the order in which they first appeared.
	requests []string
}

// shownHeaders are the response headers that call prints, in addition to the media type.
var shownHeaders = []string{"Retry-After", "Location", "Www-Authenticate", "Allow"}

var (
	requestIDs  = regexp.MustCompile(`entry-\d\.[0-9a-f]+`)
	tokenValues = regexp.MustCompile(`"token":\d+`)
	eventIDs    = regexp.MustCompile(`(?m)^id: ((\d+)-[0-9a-f]{8})$`)
	tokenLists  = regexp.MustCompile(`"tokens":\[[\d,]+\]`)
	runNumbers  = regexp.MustCompile(`by booking-\d run \d+`)
)

// TestSessions runs scripts with complete sessions of callers and operators against a cluster of real processes.
func TestSessions(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	c := newCluster(t, defaultSize)
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/sessions",
		UpdateScripts: os.Getenv("UPDATE_SESSIONS") != "",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"call":  call,
			"pause": pause,
			"ctl": func(ts *testscript.TestScript, neg bool, arguments []string) {
				ctl(ts, neg, arguments, program(t, "chicoryctl"))
			},
		},
		Setup: func(env *testscript.Env) error {
			env.Values[sessionKey{}] = &session{}
			env.Setenv("ENTRY0", c.daemons[0].callers)
			env.Setenv("ENTRY1", c.daemons[1].callers)
			env.Setenv("OPERATORS0", c.daemons[0].operators)
			env.Setenv("OPERATORS1", c.daemons[1].operators)
			env.Setenv("CHICORYCTL_TOKEN", operatorToken)
			return nil
		},
	})
}

// call implements the script command that sends a request and prints the response:
//
//	call [-body FILE] [-events N] [-header 'NAME: VALUE']... METHOD ADDRESS PATH
//
// With -events it closes the connection after N events. Values that differ between runs are replaced: request IDs by
// REQUEST-1 and so on, tokens by TOKEN, digests in event IDs by DIGEST. The variable REQUEST is set to the request ID of
// the last response that has one, and EVENT to the ID of the last event.
func call(ts *testscript.TestScript, neg bool, arguments []string) {
	if neg {
		ts.Fatalf("call prints the status; ! has no meaning")
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, events := parseCall(ctx, ts, arguments)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get(caller.HeaderRequestID); id != "" {
		ts.Setenv("REQUEST", id)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%d %s\n", response.StatusCode, response.Header.Get("Content-Type"))
	for _, name := range shownHeaders {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "%s: %s\n", name, value)
		}
	}
	body := readBody(response.Body, events)
	if ids := eventIDs.FindAllStringSubmatch(body, -1); len(ids) > 0 {
		ts.Setenv("EVENT", ids[len(ids)-1][1])
	}
	out.WriteString(body)
	s := ts.Value(sessionKey{}).(*session)
	_, err = io.WriteString(ts.Stdout(), s.normalize(out.String()))
	ts.Check(err)
}

func parseCall(ctx context.Context, ts *testscript.TestScript, arguments []string) (request *http.Request, events int) {
	var body []byte
	header := http.Header{"Authorization": {"Bearer " + callerToken}}
	for len(arguments) > 3 {
		switch arguments[0] {
		case "-body":
			body = []byte(ts.ReadFile(arguments[1]))
			header.Set("Content-Type", caller.MediaTypeJSON)
		case "-events":
			_, err := fmt.Sscan(arguments[1], &events)
			ts.Check(err)
		case "-header":
			name, value, _ := strings.Cut(arguments[1], ": ")
			header.Set(name, value)
		default:
			ts.Fatalf("call has no option %q", arguments[0])
		}
		arguments = arguments[2:]
	}
	if len(arguments) != 3 {
		ts.Fatalf("call needs METHOD ADDRESS PATH")
	}
	request, err := http.NewRequestWithContext(ctx, arguments[0], "http://"+arguments[1]+arguments[2], bytes.NewReader(body))
	ts.Check(err)
	request.Header = header
	return request, events
}

// readBody reads a body, or only its first events if events is not 0.
func readBody(body io.Reader, events int) string {
	var out strings.Builder
	seen := 0
	for lines := bufio.NewScanner(body); lines.Scan(); {
		out.WriteString(lines.Text() + "\n")
		if lines.Text() == "" {
			seen++
		}
		if events > 0 && seen == events {
			break
		}
	}
	return out.String()
}

// normalize replaces the values that differ between runs.
func (s *session) normalize(text string) string {
	text = requestIDs.ReplaceAllStringFunc(text, func(id string) string {
		for i, known := range s.requests {
			if known == id {
				return fmt.Sprintf("REQUEST-%d", i+1)
			}
		}
		s.requests = append(s.requests, id)
		return fmt.Sprintf("REQUEST-%d", len(s.requests))
	})
	text = eventIDs.ReplaceAllString(text, "id: $2-DIGEST")
	text = tokenValues.ReplaceAllString(text, `"token":TOKEN`)
	text = runNumbers.ReplaceAllString(text, "by ENDPOINT run NUMBER")
	return tokenLists.ReplaceAllStringFunc(text, func(list string) string {
		return fmt.Sprintf(`"tokens":[%d TOKENS]`, strings.Count(list, ",")+1)
	})
}

// pause implements the script command "pause DURATION".
func pause(ts *testscript.TestScript, _ bool, arguments []string) {
	length, err := time.ParseDuration(arguments[0])
	ts.Check(err)
	time.Sleep(length)
}

// ctl implements the script command that runs chicoryctl.
func ctl(ts *testscript.TestScript, neg bool, arguments []string, path string) {
	err := ts.Exec(path, arguments...)
	if (err != nil) != neg {
		ts.Fatalf("chicoryctl %s: %v", strings.Join(arguments, " "), err)
	}
}
