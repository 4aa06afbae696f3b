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

	"chicoryhall.example/chicoryhall/cmd/chicorystand/shutdown"
)

// Client sends HTTP requests. Each has a connection of its own, which is closed afterwards.
type Client struct {
	engine *nbhttp.Engine
}

// outcome is the response to a request, or the error that occurred instead.
type outcome struct {
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
	shutdown.Engine(c.engine)
}

// Get sends a GET request and returns the body of the response. It fails for any status other than 200 and 204. The
// timeout applies to the whole request, from dialing to the response; ctx can end it earlier.
func (c *Client) Get(ctx context.Context, address, path string, timeout time.Duration) ([]byte, error) {
	return c.do(ctx, http.MethodGet, address, path, nil, timeout)
}

// Post sends a value as JSON and returns the body of the response. It fails for any status other than 200 and 204.
// The timeout is that of Get.
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
		return nil, errors.Wrapf(err, "create the request %s %s%s", method, address, path)
	}
	conn := &nbhttp.ClientConn{Engine: c.engine, Timeout: timeout}
	defer conn.Close()
	outcomes := make(chan outcome, 1)
	conn.Do(request, func(response *http.Response, _ net.Conn, err error) {
		outcomes <- readResponse(response, err)
	})
	select {
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "%s %s%s", method, address, path)
	case o := <-outcomes:
		return o.check(method, address, path)
	}
}

// readResponse reads the response, unless the request failed with err. nbhttp sets Body to nil if the response has no
// content.
func readResponse(response *http.Response, err error) outcome {
	if err != nil {
		return outcome{err: err}
	}
	if response.Body == nil {
		return outcome{status: response.StatusCode}
	}
	body, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, body: body, err: err}
}

// check returns the body if the status is 200 or 204, or else an error that names the request.
func (o outcome) check(method, address, path string) ([]byte, error) {
	if o.err != nil {
		return nil, errors.Wrapf(o.err, "%s %s%s", method, address, path)
	}
	if o.status != http.StatusOK && o.status != http.StatusNoContent {
		return nil, errors.Errorf("%s %s%s: status %d: %s", method, address, path, o.status, o.body)
	}
	return o.body, nil
}
