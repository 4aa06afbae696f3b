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
	// maxIdleConnections is the maximum number of idle connections kept to each target. With net/http's default of 2,
	// most requests would need a new connection whenever many are in progress at the same time.
	maxIdleConnections = 4096
)

// Client sends requests to several daemons or load balancers, its targets, in turn.
type Client struct {
	targets []string
	// targetsChosen counts the calls of nextTarget, which choose the targets in turn.
	targetsChosen atomic.Uint64
	http          *http.Client
	meter         *TokenMeter
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
	return c.targets[int(c.targetsChosen.Add(1))%len(c.targets)]
}

// Do submits a request and reads its answer, over several connections if necessary. It returns when the request has
// ended. With EndedLost it returns deadlineGrace after the request's deadline, or when ctx is done: a request of a
// cancelled run counts as lost too.
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
func (c *Client) resume(ctx context.Context, request *Request, id chicoryhall.RequestID, lastEventID string) (*http.Response, error) {
	url := "http://" + c.nextTarget() + "/v1/requests/" + string(id)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create HTTP request to resume %s", id)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+request.BearerToken)
	httpRequest.Header.Set("Accept", caller.MediaTypeEvents)
	if lastEventID != "" {
		httpRequest.Header.Set(caller.HeaderLastEventID, lastEventID)
	}
	response, err := c.http.Do(httpRequest)
	return response, errors.Wrapf(err, "resume request %s", id)
}
