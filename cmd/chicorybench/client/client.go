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
	// retryPause is the pause before a request is tried again after a connection failed.
	retryPause = 50 * time.Millisecond
	// deadlineGrace is how long after its deadline a client still waits for the final answer.
	deadlineGrace = 2 * time.Second
	// minRecordedPause is the minimum time without tokens that is recorded as a Pause.
	minRecordedPause = 80 * time.Millisecond
	maxIdlePerHost   = 4096
)

// Client sends requests to several targets in turn.
type Client struct {
	targets []string
	next    atomic.Uint64
	http    *http.Client
	meter   *Meter
}

// New returns a Client for the given caller addresses. It counts the tokens that it receives in meter.
func New(targets []string, meter *Meter) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
	return &Client{targets: targets, http: &http.Client{Transport: transport}, meter: meter}
}

func (c *Client) target() string {
	return c.targets[int(c.next.Add(1))%len(c.targets)]
}

// Do sends a request and follows it, over several connections if necessary, until it has ended.
func (c *Client) Do(ctx context.Context, request *Request) *Exchange {
	now := time.Now()
	e := &inFlight{
		client:  c,
		request: request,
		result:  &Exchange{Started: now, Ending: EndedLost},
	}
	timeoutCtx, cancel := context.WithDeadline(ctx, now.Add(request.Timeout+deadlineGrace))
	defer cancel()
	e.run(timeoutCtx)
	e.result.Finished = time.Now()
	return e.result
}

// submit submits the request.
func (c *Client) submit(ctx context.Context, request *Request) (*http.Response, error) {
	body, err := json.Marshal(request.Submission)
	if err != nil {
		return nil, errors.Wrap(err, "encode submission")
	}
	url := "http://" + c.target() + "/v1/services/" + string(request.Service) + "/requests"
	message, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create submission")
	}
	message.Header.Set("Authorization", "Bearer "+request.Token)
	message.Header.Set("Content-Type", caller.MediaTypeJSON)
	message.Header.Set(caller.HeaderIdempotencyKey, request.Key)
	message.Header.Set(caller.HeaderRequestTimeout, request.Timeout.String())
	response, err := c.http.Do(message)
	return response, errors.Wrap(err, "submit")
}

// resume requests the rest of an answer after the last event received.
func (c *Client) resume(ctx context.Context, request *Request, id chicoryhall.RequestID, lastEvent string) (*http.Response, error) {
	url := "http://" + c.target() + "/v1/requests/" + string(id)
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create resume request")
	}
	message.Header.Set("Authorization", "Bearer "+request.Token)
	message.Header.Set("Accept", caller.MediaTypeEvents)
	if lastEvent != "" {
		message.Header.Set(caller.HeaderLastEventID, lastEvent)
	}
	response, err := c.http.Do(message)
	return response, errors.Wrap(err, "resume")
}
