package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds one call of a Client that New returns.
	DefaultTimeout = 2 * time.Second
	// maxConnections bounds the connections of a Client.
	maxConnections = 8
	// maxAnswerBytes bounds the body of an answer; a longer one is cut off there and fails to decode.
	maxAnswerBytes = 64 << 20
)

// Client calls the table service over HTTP.
type Client struct {
	address string
	timeout time.Duration
	http    *http.Client
}

// New returns a Client of the table service at address (IP:PORT) with DefaultTimeout.
func New(address string) *Client {
	return NewWithTimeout(address, DefaultTimeout)
}

// NewWithTimeout returns a Client whose calls take at most timeout.
func NewWithTimeout(address string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{address: address, timeout: timeout, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Transact makes all changes or none; errors are of type *Error.
func (c *Client) Transact(ctx context.Context, transaction Transaction) (Result, error) {
	const operation = "write transaction"
	body, err := json.Marshal(transaction)
	if err != nil {
		return Result{}, NewError(operation, c.address, Unavailable, err)
	}
	var result Result
	status, maybeSent, err := c.call(ctx, http.MethodPost, "/v1/transactions", body, &result)
	switch {
	case err != nil && maybeSent:
		return Result{}, NewError(operation, c.address, Unsettled, err)
	case err != nil:
		return Result{}, NewError(operation, c.address, Unavailable, err)
	case status == http.StatusConflict && result.Conflict != nil:
		return result, NewConflict(operation, c.address, *result.Conflict)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return Result{}, NewError(operation, c.address, Unavailable, errors.Errorf("status %d", status))
	case status != http.StatusOK || !result.Committed:
		return Result{}, NewError(operation, c.address, Unsettled, errors.Errorf("status %d", status))
	}
	return result, nil
}

// Row reads one row; found is false if it does not exist.
func (c *Client) Row(ctx context.Context, key string) (row Row, found bool, err error) {
	const operation = "read row"
	status, _, err := c.call(ctx, http.MethodGet, "/v1/rows/"+url.PathEscape(key), nil, &row)
	switch {
	case err != nil:
		return Row{}, false, NewError(operation, c.address, Unavailable, err)
	case status == http.StatusNotFound:
		return Row{}, false, nil
	case status != http.StatusOK:
		return Row{}, false, NewError(operation, c.address, Unavailable, errors.Errorf("status %d", status))
	}
	return row, true, nil
}

// Rows reads all rows whose key has the given prefix, in key order.
func (c *Client) Rows(ctx context.Context, prefix string) ([]Row, error) {
	const operation = "read rows"
	var rows Rows
	status, _, err := c.call(ctx, http.MethodGet, "/v1/rows?prefix="+url.QueryEscape(prefix), nil, &rows)
	switch {
	case err != nil:
		return nil, NewError(operation, c.address, Unavailable, err)
	case status != http.StatusOK:
		return nil, NewError(operation, c.address, Unavailable, errors.Errorf("status %d", status))
	}
	return rows.Rows, nil
}

// call sends one request and decodes its answer. maybeSent reports whether a part of the request may have reached the
// table, which is so once there is a connection.
func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) (status int, maybeSent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, false, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, connected.Load(), err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, true, err
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusConflict {
		err = json.Unmarshal(text, answer)
	}
	return response.StatusCode, true, err
}
