package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
)

const (
	dialTimeout = time.Second
	// retryDelay is the time to wait before a request is submitted again or its answer is resumed.
	retryDelay = 50 * time.Millisecond
	// deadlineGrace is how long after a request's deadline the client still waits, so that an answer that is late can be
	// told from one that never comes.
	deadlineGrace = 2 * time.Second
	// minRecordedPause is the time between two tokens above which it is recorded as a TokenPause.
	minRecordedPause = 80 * time.Millisecond
	// maxIdleConnections is the maximum number of idle connections kept to each target. The default of net/http is 2, so
	// that most requests would need a new connection.
	maxIdleConnections = 4096
)

// Client sends requests to several daemons or load balancers, its targets, in turn.
type Client struct {
	targets []string
	// targetCount counts the targets chosen so far.
	targetCount atomic.Uint64
	http        *http.Client
	meter       *TokenMeter
}

// New returns a Client for the targets with the given addresses, IP:PORT. It counts the tokens that it receives in
// meter.
func New(targets []string, meter *TokenMeter) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &Client{targets: targets, http: &http.Client{Transport: transport}, meter: meter}
}

// nextTarget returns the target for the next HTTP request.
func (c *Client) nextTarget() string {
	return c.targets[int(c.targetCount.Add(1))%len(c.targets)]
}

// Do submits a request and reads its answer, over several connections if necessary. It returns when the request has
// ended, or deadlineGrace after its deadline with EndedLost.
func (c *Client) Do(ctx context.Context, request *Request) *Exchange {
	now := time.Now()
	inFlight := &inFlightRequest{
		client:   c,
		request:  request,
		exchange: &Exchange{Started: now, Ending: EndedLost},
	}
	timeoutCtx, cancel := context.WithDeadline(ctx, now.Add(request.Timeout+deadlineGrace))
	defer cancel()
	inFlight.run(timeoutCtx)
	inFlight.exchange.Finished = time.Now()
	return inFlight.exchange
}

// submit sends the request to the next target. The idempotency key makes it safe to do so again.
func (c *Client) submit(ctx context.Context, request *Request) (*http.Response, error) {
	body, err := json.Marshal(request.Submission)
	if err != nil {
		return nil, errors.Wrapf(err, "encode request %s", request.IdempotencyKey)
	}
	url := "http://" + c.nextTarget() + "/v1/services/" + string(request.Service) + "/requests"
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "create HTTP request to submit %s", request.IdempotencyKey)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+request.BearerToken)
	httpRequest.Header.Set("Content-Type", caller.MediaTypeJSON)
	httpRequest.Header.Set(caller.HeaderIdempotencyKey, request.IdempotencyKey)
	httpRequest.Header.Set(caller.HeaderRequestTimeout, request.Timeout.String())
	response, err := c.http.Do(httpRequest)
	return response, errors.Wrapf(err, "submit request %s", request.IdempotencyKey)
}

// resume requests the rest of an answer after the last event received.
func (c *Client) resume(ctx context.Context, request *Request, id chicoryhall.RequestID, lastEvent string) (*http.Response, error) {
	url := "http://" + c.nextTarget() + "/v1/requests/" + string(id)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create HTTP request to resume %s", id)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+request.BearerToken)
	httpRequest.Header.Set("Accept", caller.MediaTypeEvents)
	if lastEvent != "" {
		httpRequest.Header.Set(caller.HeaderLastEventID, lastEvent)
	}
	response, err := c.http.Do(httpRequest)
	return response, errors.Wrapf(err, "resume request %s", id)
}
