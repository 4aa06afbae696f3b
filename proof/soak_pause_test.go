package proof

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// pausedReply is a response of an endpoint that was paused. early is the part of the body that came before the end of the pause.
type pausedReply struct {
	headAt      time.Time
	early, body string
}

// readPaused sends a request and reads its response.
func readPaused(t *testing.T, address, path, id, body string, end time.Time) pausedReply {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	must.NoError(t, err)
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "5000", "Token-Count": "10,60", "Hop-Count": address + "=0-8",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	reply, chunk := pausedReply{headAt: time.Now()}, make([]byte, 4096)
	for {
		n, err := response.Body.Read(chunk)
		reply.body += string(chunk[:n])
		if time.Now().Before(end) {
			reply.early = reply.body
		}
		if err != nil {
			must.ErrorIs(t, err, io.EOF)
			return reply
		}
	}
}

// TestPausedEndpointGoesOn checks that an endpoint of the simulated platform is silent during a pause, then goes on, and loses
// nothing.
func TestPausedEndpointGoesOn(t *testing.T) {
	const (
		pause  = 600 * time.Millisecond
		before = -10 * time.Millisecond
		during = 50 * time.Millisecond
	)
	stream := (&soakResult{id: "2", kind: streamKind}).expectedBody()
	cases := []struct {
		name, endpoint, path string
		// begins is when the pause begins, from when the request is sent on.
		begins time.Duration
		// answers is the number of answers that the endpoint has sent before.
		answers int
		want    string
		// hasHead is set if the head and a part of the body come before the end of the pause.
		hasHead bool
	}{
		{"a plain request that comes meanwhile", "p", "/a", before, 0, "answer to 2", false},
		{"a request for the load report that comes meanwhile", "e", "/-/report", before, 0, "", false},
		{"a plain answer before the head", "p", "/a", during, 1, "answer to 2", false},
		{"a plain answer in the body", "p", "/a", during, 0, "answer to 2", true},
		{"a stream that comes meanwhile", "e", "/a", before, 0, stream, false},
		{"a stream that has begun", "e", "/a", 3 * during, 0, stream, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			control, addresses := startPausable(t)
			address := addresses[c.endpoint]
			for number := range c.answers {
				readPaused(t, address, c.path, fmt.Sprintf("1-%d", number), "", time.Now())
			}
			sentAt := time.Now().Add(during)
			end := sentAt.Add(c.begins + pause)
			time.AfterFunc(time.Until(sentAt.Add(c.begins)), func() {
				postControl(control, "/engines/"+c.endpoint+"/pause", map[string]int64{"millis": pause.Milliseconds()})
			})
			time.Sleep(time.Until(sentAt))
			reply := readPaused(t, address, c.path, "2", "", end)
			must.True(t, time.Now().After(end))
			must.Eq(t, c.hasHead, reply.headAt.Before(end))
			must.Eq(t, c.hasHead, reply.early != "")
			if c.want != "" {
				must.Eq(t, c.want, reply.body)
				must.Less(t, len(c.want), len(reply.early))
			}
		})
	}
}

// startPausable starts a simulated platform with the engine "e", which has loaded all layers, and the plain endpoint "p". It
// returns the address of the control endpoint and those of the two.
func startPausable(t *testing.T) (string, map[string]string) {
	t.Helper()
	control, addresses := freeAddress(t), map[string]string{"e": freeAddress(t), "p": freeAddress(t)}
	engine, plain := soakEngine("e", "x", "model", addresses["e"], 0), soakEngine("p", "x", "plain", addresses["p"], -1)
	engine["pace"], engine["memoryBytes"], plain["workMillis"] = 10, 2e7, 150
	start(t, "hall", "chicorystand", "hall", writeJSON(t, t.TempDir(), "hall.yaml", map[string]any{
		"store": freeAddress(t), "control": control, "configuration": configuration(1),
		"engines": []map[string]any{engine, plain}, "model": soakModel(),
	}))
	eventually(t, "the stand-in answers", startTimeout, func() bool { return answers(control, "/ledger") })
	postControl(addresses["e"], "/-/order", map[string]any{"op": "place", "from": 0, "to": 8})
	time.Sleep(500 * time.Millisecond) // Until the engine has loaded its layers.
	return control, addresses
}
