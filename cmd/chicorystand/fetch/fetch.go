package fetch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// Client sends requests, each over its own connection.
type Client struct {
	engine *nbhttp.Engine
}

// answer is the result of one request.
type answer struct {
	status int
	body   []byte
	err    error
}

// New returns a Client. It must be stopped with Stop.
func New() (*Client, error) {
	engine := nbhttp.NewEngine(nbhttp.Config{})
	if err := engine.Start(); err != nil {
		return nil, errors.Wrap(err, "start the HTTP client")
	}
	return &Client{engine: engine}, nil
}

// Stop closes the client's connections.
func (c *Client) Stop() {
	c.engine.Stop()
}

// Get returns the body of the response. It fails for any status other than 200 and 204.
func (c *Client) Get(ctx context.Context, address, path string, timeout time.Duration) ([]byte, error) {
	return c.do(ctx, http.MethodGet, address, path, nil, timeout)
}

// Post sends a JSON value. It fails for any status other than 200 and 204.
func (c *Client) Post(ctx context.Context, address, path string, value any, timeout time.Duration) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode the body for %s%s", address, path)
	}
	return c.do(ctx, http.MethodPost, address, path, body, timeout)
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s%s", method, address, path)
	}
	conn := &nbhttp.ClientConn{Engine: c.engine, Timeout: timeout}
	defer conn.Close()
	answers := make(chan answer, 1)
	conn.Do(request, func(response *http.Response, _ net.Conn, err error) {
		answers <- read(response, err)
	})
	select {
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "%s %s%s", method, address, path)
	case a := <-answers:
		return a.result(method, address, path)
	}
}

// read reads a response. nbhttp sets Body to nil if the response has no content.
func read(response *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	if response.Body == nil {
		return answer{status: response.StatusCode}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: body, err: err}
}

func (a answer) result(method, address, path string) ([]byte, error) {
	if a.err != nil {
		return nil, errors.Wrapf(a.err, "%s %s%s", method, address, path)
	}
	if a.status != http.StatusOK && a.status != http.StatusNoContent {
		return nil, errors.Errorf("%s %s%s: status %d: %s", method, address, path, a.status, a.body)
	}
	return a.body, nil
}
