package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"chicoryhall.example/chicoryhall"
)

// Load polls an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (chicoryhall.LoadReport, error) {
	var load chicoryhall.LoadReport
	err := c.roundTrip(ctx, roundTrip{address: address, step: "poll load", method: "GET", path: "/v1/load"}, &load)
	return load, err
}

// Order gives an engine the state that it shall reach.
func (c *Client) Order(ctx context.Context, address string, order Order) (OrderResult, error) {
	var result OrderResult
	err := c.roundTrip(ctx, roundTrip{address: address, step: "give order", method: "POST", path: "/v1/orders", body: order}, &result)
	return result, err
}

// CacheEvents polls an engine's cache events behind a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var events CacheEvents
	path := fmt.Sprintf("/v1/cache-events?after=%d", after)
	err := c.roundTrip(ctx, roundTrip{address: address, step: "poll cache events", method: "GET", path: path}, &events)
	return events, err
}

// Call sends one call to a plain service; one that is not idempotent goes out on a new connection.
func (c *Client) Call(ctx context.Context, address string, call Call) (CallResult, error) {
	var result CallResult
	trip := roundTrip{address: address, step: "call " + call.Operation, method: "POST", path: "/v1/calls", body: call, fresh: !call.Idempotent}
	err := c.roundTrip(ctx, trip, &result)
	return result, err
}

// Probe asks on a new connection whether the process at an address answers.
func (c *Client) Probe(ctx context.Context, address string) error {
	return c.roundTrip(ctx, roundTrip{address: address, step: "probe", method: "GET", path: "/healthz", fresh: true}, nil)
}

// roundTrip is one request whose whole answer is wanted.
type roundTrip struct {
	address string
	step    string
	method  string
	path    string
	body    any
	fresh   bool
}

func (c *Client) roundTrip(ctx context.Context, trip roundTrip, result any) error {
	fail := func(kind FailureKind, sent bool, cause error) error {
		return &Error{kind: kind, step: trip.step, peer: trip.address, sent: sent, cause: cause}
	}
	var body []byte
	if trip.body != nil {
		encoded, err := json.Marshal(trip.body)
		if err != nil {
			return fail(FailureMalformed, false, err)
		}
		body = encoded
	}
	waiting := newWaiter()
	request := appendRequest(nil, trip.method, trip.path, trip.address, body)
	c.send(exchange{address: trip.address, step: trip.step, request: request, fresh: trip.fresh, receiver: waiting})
	select {
	case <-waiting.done:
	case <-ctx.Done():
		sent, ended := waiting.giveUp()
		if !ended {
			return fail(silentOrUnreachable(sent), sent, ctx.Err())
		}
	}
	if waiting.failure != nil {
		return waiting.failure
	}
	if waiting.status/100 != statusOK/100 {
		return &Error{
			kind: FailureStatus, step: trip.step, peer: trip.address, sent: true, status: waiting.status,
			cause: fmt.Errorf("status %d: %.200s", waiting.status, bytes.TrimSpace(waiting.body)),
		}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(waiting.body, result); err != nil {
		return fail(FailureMalformed, true, err)
	}
	return nil
}

func silentOrUnreachable(sent bool) FailureKind {
	if sent {
		return FailureSilent
	}
	return FailureUnreachable
}
