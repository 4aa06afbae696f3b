package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// consumer is a stand-in of a consumer: it keeps one channel open for its requests.
type consumer struct {
	name    string
	address string
	record  *record
	// window is the size of the receive window, or 0 for that of the system.
	window int
	number int
	// isQuiet is set if its requests are not recorded one by one.
	isQuiet bool
	channel net.Conn
	reader  *bufio.Reader
}

// request is what a consumer sends.
type request struct {
	method, path string
	budget       time.Duration
	key          string
	body         []byte
	// before is called after the request has been sent, before the answer is read.
	before func()
	// rate is how many bytes of the answer are read a second, or 0 for as fast as possible.
	rate int
}

// reply is what a consumer got.
type reply struct {
	id     string
	status int
	seal   string
	bytes  int
	// kept is set if the channel had carried an earlier request.
	kept bool
	err  error
	took time.Duration
}

// isComplete reports whether a complete answer has come.
func (r reply) isComplete() bool { return r.err == nil && r.status != 0 }

// send sends a request on the channel, which it opens if there is none, and reads the answer.
func (c *consumer) send(wanted request) reply {
	c.number++
	got := reply{id: fmt.Sprintf("%s-%04d", c.name, c.number), kept: c.channel != nil}
	sentAt := time.Now()
	got.err = c.exchange(&got, wanted)
	got.took = time.Since(sentAt)
	if got.err != nil {
		c.close()
	}
	if c.isQuiet {
		return got
	}
	c.record.add("consumer: %s %s %s -> status %d, %d bytes, after %.3f s, kept channel %t, error %v",
		got.id, wanted.method, wanted.path, got.status, got.bytes, got.took.Seconds(), got.kept, got.err)
	return got
}

func (c *consumer) close() {
	if c.channel != nil {
		_ = c.channel.Close()
		c.channel, c.reader = nil, nil
	}
}

func (c *consumer) exchange(got *reply, wanted request) error {
	if c.channel == nil {
		channel, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return err
		}
		if c.window > 0 {
			_ = channel.(*net.TCPConn).SetReadBuffer(c.window)
		}
		c.channel, c.reader = channel, bufio.NewReader(channel)
	}
	_ = c.channel.SetDeadline(time.Now().Add(wanted.budget + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, wire("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n@deadline: %d\r\n"), wanted.method, wanted.path, hostName, got.id, wanted.budget.Milliseconds())
	if wanted.key != "" {
		fmt.Fprintf(&head, wire("@credential: %s\r\n"), wanted.key)
	}
	if wanted.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(wanted.body))
	}
	head.WriteString("\r\n")
	if _, err := c.channel.Write(append(head.Bytes(), wanted.body...)); err != nil {
		return err
	}
	if wanted.before != nil {
		wanted.before()
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: wanted.method})
	if err != nil {
		return err
	}
	got.status, got.seal = response.StatusCode, response.Header.Get(wire("@seal"))
	var body io.Reader = response.Body
	if wanted.rate > 0 {
		body = &slowReader{source: body, rate: wanted.rate}
	}
	read, err := io.Copy(io.Discard, body)
	got.bytes = int(read)
	if err == nil && response.Close {
		c.close()
	}
	return err
}

// slowReader reads so many bytes a second.
type slowReader struct {
	source io.Reader
	rate   int
}

func (s *slowReader) Read(into []byte) (int, error) {
	const step = 20 * time.Millisecond
	time.Sleep(step)
	return s.source.Read(into[:min(len(into), max(1, int(float64(s.rate)*step.Seconds())))])
}
