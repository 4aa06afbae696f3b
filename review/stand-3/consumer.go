package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is what a consumer sends.
type request struct {
	method, path, body string
	lastEvent          int
	budget             time.Duration
}

// reply is what a consumer gets: status 0 stands for a channel that ended without an answer.
type reply struct {
	id, seal   string
	status     int
	events     int
	lastEvent  int
	complete   bool
	retryAfter time.Duration
	body       []byte
}

// newID returns a request's ID as consumers write it.
func newID() string { return strings.ToLower(rand.Text()[:16]) }

// send sends a request over a new channel and reads the answer to its end.
func send(to string, sent request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), sent.budget)
	defer cancel()
	got := reply{id: newID(), lastEvent: sent.lastEvent}
	message, err := http.NewRequestWithContext(ctx, sent.method, "http://"+to+sent.path, strings.NewReader(sent.body))
	if err != nil {
		return got
	}
	message.Host = host
	message.Header.Set("Request-Id", got.id)
	message.Header.Set(names["deadline"], strconv.FormatInt(sent.budget.Milliseconds(), 10))
	message.Header.Set(names["key"], tenantKey)
	message.Header.Set("Accept-Encoding", "identity")
	if sent.lastEvent > 0 {
		message.Header.Set("Last-Event-Id", strconv.Itoa(sent.lastEvent))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(message)
	if err != nil {
		return got
	}
	defer response.Body.Close()
	got.status, got.seal = response.StatusCode, response.Header.Get(names["seal"])
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	var body bytes.Buffer
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text := lines.Text()
		body.WriteString(text + "\n")
		if id, isID := strings.CutPrefix(text, "id: "); isID {
			if number, err := strconv.Atoi(id); err == nil {
				got.events++
				got.lastEvent = number
			}
		}
	}
	got.complete, got.body = lines.Err() == nil, body.Bytes()
	return got
}
