package hall

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxAgainDelay bounds the time until an answer is written once more.
const maxAgainDelay = 40 * time.Millisecond

// AnswerFaults make a plain endpoint write its answers itself, byte by byte, and do something wrong with so many of 100 requests.
type AnswerFaults struct {
	// AgainPercent of the answers and refusals are written once more on the same connection, at once or within maxAgainDelay.
	AgainPercent int `yaml:"againPercent,omitempty"`
	// TornPercent of the answers end at any byte, with a close or a reset.
	TornPercent int `yaml:"tornPercent,omitempty"`
	// UnreadPercent of the connections are closed or reset when a request has come, which does not run.
	UnreadPercent int `yaml:"unreadPercent,omitempty"`
	// ClosePercent of the connections are closed after an answer that did not say so.
	ClosePercent int `yaml:"closePercent,omitempty"`
	// RefusePercent of the requests are refused.
	RefusePercent int `yaml:"refusePercent,omitempty"`
	// Flood is sent in place of some answers.
	Flood Flood `yaml:"flood,omitempty"`
}

// happens decides at random whether something happens that does so with percent of 100 requests.
func happens(percent int) bool { return rand.IntN(100) < percent }

// serveFaulty serves the connections to an endpoint with AnswerFaults until the listener is closed.
func (p *Platform) serveFaulty(listener net.Listener, endpoint *Endpoint) error {
	for {
		conn, err := listener.Accept()
		if p.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a connection")
		}
		p.group.Go(func() error {
			endpoint.serveConnection(conn)
			return nil
		})
	}
}

// serveConnection answers the requests on a connection until one of them ends it.
func (e *Endpoint) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if happens(e.settings.AnswerFaults.UnreadPercent) || e.isUnresponsive() {
			resetOrClose(conn)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if flood := &e.settings.AnswerFaults.Flood; flood.isFor(request) {
			flood.send(conn, request)
			return
		}
		if !e.sendFaulty(conn, e.answerFaulty(request)) {
			return
		}
	}
}

// answerFaulty runs a request, unless it refuses it, and returns the text of the answer.
func (e *Endpoint) answerFaulty(request *http.Request) string {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id() {
		return refusalText(http.StatusMisdirectedRequest, id)
	}
	if happens(e.settings.AnswerFaults.RefusePercent) || !e.acquireSlot() {
		return refusalText(http.StatusServiceUnavailable, id)
	}
	defer e.releaseSlot()
	e.platform.ledger.add(LedgerEntry{Request: id, Endpoint: e.settings.ID, Wrong: wrongHeaders(request)})
	time.Sleep(e.slowed(e.settings.WorkMillis))
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.id(), id, len(body), body)
}

// refusalText returns the text of an answer that says that the request did not run.
func refusalText(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), id)
}

// sendFaulty writes an answer, with the faults of the endpoint. It returns false if the connection has ended.
func (e *Endpoint) sendFaulty(conn net.Conn, answer string) bool {
	faults := e.settings.AnswerFaults
	if happens(faults.TornPercent) {
		_, _ = io.WriteString(conn, answer[:rand.IntN(len(answer))])
		resetOrClose(conn)
		return false
	}
	if _, err := io.WriteString(conn, answer); err != nil {
		return false
	}
	if happens(faults.AgainPercent) {
		time.Sleep(rand.N(maxAgainDelay) * time.Duration(rand.IntN(2)))
		if _, err := io.WriteString(conn, answer); err != nil {
			return false
		}
	}
	return !happens(faults.ClosePercent) || strings.Contains(answer, "Not-Executed")
}

// resetOrClose closes a connection, half of the times with a reset.
func resetOrClose(conn net.Conn) {
	if accepted, ok := conn.(*cutConn); ok && happens(50) {
		accepted.reset()
		return
	}
	_ = conn.Close()
}
