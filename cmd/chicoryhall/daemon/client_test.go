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

// testCaller calls one daemon over connections of its own.
type testCaller struct {
	daemon string
	scheme string
	client http.Client
}

func newCaller(d *testDaemon) *testCaller {
	return &testCaller{daemon: d.callers, scheme: "http", client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// reply is what a caller got.
type reply struct {
	status    int
	id        chicoryhall.RequestID
	positions []int
	// events are the ids of the events.
	events  []string
	tokens  []digest.Token
	whole   bool
	problem *caller.Problem
	answer  *caller.Answer
	headers http.Header
	err     error
}

// submit sends a submission and reads its whole answer, or most events of it.
func (c *testCaller) submit(ctx context.Context, submission caller.Submission, most int, headers ...string) reply {
	body, err := json.Marshal(submission)
	if err != nil {
		return reply{err: err}
	}
	return c.do(ctx, http.MethodPost, requestsPath, body, most, headers...)
}

// resume reads on behind the last event.
func (c *testCaller) resume(ctx context.Context, id chicoryhall.RequestID, last string) reply {
	return c.do(ctx, http.MethodGet, "/v1/requests/"+string(id), nil, 0, caller.HeaderLastEventID, last)
}

func (c *testCaller) do(ctx context.Context, method, path string, body []byte, most int, headers ...string) reply {
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
		r.readEvents(response.Body, most)
	case caller.MediaTypeProblem:
		r.problem = &caller.Problem{}
		r.err = json.NewDecoder(response.Body).Decode(r.problem)
	case caller.MediaTypeJSON:
		r.answer = &caller.Answer{}
		r.err = json.NewDecoder(response.Body).Decode(r.answer)
	}
	return r
}

// readEvents reads server-sent events up to the closing one, or most of them.
func (r *reply) readEvents(body io.Reader, most int) {
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
			r.events = append(r.events, value)
		case "data":
			r.readData(name, value)
		}
		if r.whole || r.err != nil || (most > 0 && len(r.tokens) == most) {
			return
		}
	}
	r.err = lines.Err()
}

func (r *reply) readData(name, value string) {
	switch name {
	case caller.EventEnd:
		r.whole = true
	case caller.EventError:
		r.problem = &caller.Problem{}
		r.err = json.Unmarshal([]byte(value), r.problem)
	default:
		var event caller.TokenEvent
		r.err = json.Unmarshal([]byte(value), &event)
		r.tokens = append(r.tokens, event.Token)
	}
}

// mustBeWhole fails the test unless the reply is the whole answer to the prompt, each position once.
func mustBeWhole(t *testing.T, r reply, prompt string, length int) {
	t.Helper()
	must.NoError(t, r.err)
	if r.problem != nil {
		t.Fatalf("problem: %+v", *r.problem)
	}
	must.True(t, r.whole, must.Sprint("the answer is cut"))
	must.Eq(t, length, len(r.tokens))
	for i, position := range r.positions {
		must.Eq(t, i, position)
	}
	must.Eq(t, -1, digest.Verify(digest.ModelOf("assistant", "1"), testLayers, digest.Prompt(prompt), r.tokens))
}

func query(prompt string, tokens int) caller.Submission {
	return caller.Submission{Class: "query", Prompt: prompt, MaxTokens: tokens}
}

// control sets a fault of a stand-in.
func control(t testing.TB, address, fault string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+fault, nil)
	must.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		must.NoError(t, response.Body.Close())
	} else if fault != "crash" {
		t.Fatalf("set fault %s: %v", fault, err)
	}
}

func promptOf(i int) string {
	return fmt.Sprintf("torque of the cylinder head bolts, query %d", i)
}
