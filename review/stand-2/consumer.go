package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// The key and the host of the consumers.
const (
	apiKey = "n2ctnfzs989anu6wsjnb"
	host   = "ficu95.example"
)

var requestNumber atomic.Int64

// consumer sends requests to one daemon and keeps its channels open.
type consumer struct {
	machine *machine
	record  *record
	client  *http.Client
}

func newConsumer(m *machine, r *record) *consumer {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	return &consumer{machine: m, record: r, client: &http.Client{Transport: transport}}
}

// sent is a request and its answer. The status is 0 if there was none.
type sent struct {
	id     string
	at     time.Time
	status int
	body   string
	// retryAfter is the time that the answer states.
	retryAfter time.Duration
	seal       string
}

// send sends one request and waits for its answer.
func (c *consumer) send(method, path, body string, budget time.Duration) sent {
	id := fmt.Sprintf("%016x", uint64(requestNumber.Add(1))<<32|uint64(rand.Uint32()))
	s := sent{id: id, at: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.machine.at(portCallers)+path, strings.NewReader(body))
	if err != nil {
		return s
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set(wire("deadline"), strconv.FormatInt(budget.Milliseconds(), 10))
	request.Header.Set(wire("key"), apiKey)
	c.record.printf("consumer of %s sends %s %s %s", c.machine.name, id, method, path)
	client := *c.client
	client.Timeout = budget + 500*time.Millisecond
	response, err := client.Do(request)
	if err != nil {
		c.record.printf("consumer of %s got no answer to %s: %v", c.machine.name, id, err)
		return s
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	s.status, s.body, s.seal = response.StatusCode, string(text), response.Header.Get(wire("seal"))
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		s.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	c.record.printf("consumer of %s got %d to %s after %d ms: %s (error %v)", c.machine.name, s.status, id, time.Since(s.at).Milliseconds(),
		strings.TrimSpace(s.body), err)
	return s
}
