package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/digest"
)

// testCaller is a client of one daemon with its own connections.
type testCaller struct {
	daemon string
	scheme string
	client http.Client
}

func newCaller(d *testDaemon) *testCaller {
	return &testCaller{daemon: d.callers, scheme: "http", client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// reply is the response that a caller received, either as a stream of events or as a whole.
type reply struct {
	status    int
	id        chicoryhall.RequestID
	positions []int
	// eventIDs are the IDs of the token events.
	eventIDs []string
	tokens   []digest.Token
	complete bool // the stream ended with the end event
	problem  *caller.Problem
	answer   *caller.Answer
	headers  http.Header
	err      error
}

// submit sends a submission and reads its answer, up to maxTokens tokens of it, or all if maxTokens is 0.
func (c *testCaller) submit(ctx context.Context, submission caller.Submission, maxTokens int, headers ...string) reply {
	body, err := json.Marshal(submission)
	if err != nil {
		return reply{err: err}
	}
	return c.do(ctx, http.MethodPost, requestsPath, body, maxTokens, headers...)
}

// resume reads the rest of an answer after the event with ID last.
func (c *testCaller) resume(ctx context.Context, id chicoryhall.RequestID, last string) reply {
	return c.do(ctx, http.MethodGet, "/v1/requests/"+string(id), nil, 0, caller.HeaderLastEventID, last)
}

func (c *testCaller) do(ctx context.Context, method, path string, body []byte, maxTokens int, headers ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.daemon+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := c.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := reply{status: response.StatusCode, id: chicoryhall.RequestID(response.Header.Get(caller.HeaderRequestID)), headers: response.Header}
	switch response.Header.Get("Content-Type") {
	case caller.MediaTypeEvents:
		r.readEvents(response.Body, maxTokens)
	case caller.MediaTypeProblem:
		r.problem = &caller.Problem{}
		r.err = json.NewDecoder(response.Body).Decode(r.problem)
	case caller.MediaTypeJSON:
		r.answer = &caller.Answer{}
		r.err = json.NewDecoder(response.Body).Decode(r.answer)
	}
	return r
}

// readEvents reads server-sent events until the closing one, or until there are maxTokens tokens if that is not 0.
func (r *reply) readEvents(body io.Reader, maxTokens int) {
	lines := bufio.NewScanner(body)
	name := ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ": ")
		switch field {
		case "":
			name = ""
		case "event":
			name = value
		case "id":
			text, _, _ := strings.Cut(value, "-")
			position, err := strconv.Atoi(text)
			if err != nil {
				r.err = err
				return
			}
			r.positions = append(r.positions, position)
			r.eventIDs = append(r.eventIDs, value)
		case "data":
			r.readData(name, value)
		}
		if r.complete || r.err != nil || (maxTokens > 0 && len(r.tokens) == maxTokens) {
			return
		}
	}
	r.err = lines.Err()
}

func (r *reply) readData(name, value string) {
	switch name {
	case caller.EventEnd:
		r.complete = true
	case caller.EventError:
		r.problem = &caller.Problem{}
		r.err = json.Unmarshal([]byte(value), r.problem)
	default:
		var event caller.TokenEvent
		r.err = json.Unmarshal([]byte(value), &event)
		r.tokens = append(r.tokens, event.Token)
	}
}

// mustBeComplete fails the test unless the reply is the complete answer to the prompt, with each position once.
func mustBeComplete(t *testing.T, r reply, prompt string, length int) {
	t.Helper()
	must.NoError(t, r.err)
	if r.problem != nil {
		t.Fatalf("problem: %+v", *r.problem)
	}
	must.True(t, r.complete, must.Sprint("the answer is incomplete"))
	must.Eq(t, length, len(r.tokens))
	for i, position := range r.positions {
		must.Eq(t, i, position)
	}
	must.Eq(t, -1, digest.Verify(digest.ModelOf("assistant", "1"), testLayers, digest.Tokenize(prompt), r.tokens))
}

func query(prompt string, tokens int) caller.Submission {
	return caller.Submission{Class: "query", Prompt: prompt, MaxTokens: tokens}
}

// control makes a stand-in process execute an action, such as a fault, through its control address. A crash may close the
// connection before it is answered.
func control(t testing.TB, address, action string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+action, nil)
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		must.NoError(t, response.Body.Close())
	} else if action != "crash" {
		t.Fatalf("action %s: %v", action, err)
	}
}

// promptOf returns a different prompt for each i.
func promptOf(i int) string {
	return fmt.Sprintf("torque of the cylinder head bolts, query %d", i)
}
