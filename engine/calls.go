package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"chicoryhall.example/chicoryhall"
)

// Load gets an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (chicoryhall.LoadReport, error) {
	var load chicoryhall.LoadReport
	err := c.roundTrip(ctx, roundTrip{address: address, operation: "poll load", method: "GET", path: "/v1/load"}, &load)
	return load, err
}

// Order sends an engine the state that it must reach.
func (c *Client) Order(ctx context.Context, address string, order Order) (OrderResult, error) {
	var result OrderResult
	err := c.roundTrip(ctx, roundTrip{address: address, operation: "send order", method: "POST", path: "/v1/orders", body: order}, &result)
	return result, err
}

// CacheEvents gets an engine's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var events CacheEvents
	path := fmt.Sprintf("/v1/cache-events?after=%d", after)
	err := c.roundTrip(ctx, roundTrip{address: address, operation: "poll cache events", method: "GET", path: path}, &events)
	return events, err
}

// Call sends a call to a plain service, over a new connection if the call is not idempotent.
func (c *Client) Call(ctx context.Context, address string, call Call) (CallResult, error) {
	var result CallResult
	trip := roundTrip{address: address, operation: "call " + call.Operation, method: "POST", path: "/v1/calls", body: call, newConnection: !call.Idempotent}
	err := c.roundTrip(ctx, trip, &result)
	return result, err
}

// Probe checks over a new connection whether the process at an address answers.
func (c *Client) Probe(ctx context.Context, address string) error {
	return c.roundTrip(ctx, roundTrip{address: address, operation: "probe", method: "GET", path: "/healthz", newConnection: true}, nil)
}

// roundTrip is a request and its answer, received as a whole. Any status from 200 to 299 is a
// success.
type roundTrip struct {
	address       string
	operation     string
	method        string
	path          string
	body          any
	newConnection bool
}

func (c *Client) roundTrip(ctx context.Context, trip roundTrip, result any) error {
	fail := func(kind FailureKind, sent bool, cause error) error {
		return &Error{kind: kind, operation: trip.operation, address: trip.address, sent: sent, cause: cause}
	}
	var body []byte
	if trip.body != nil {
		encoded, err := json.Marshal(trip.body)
		if err != nil {
			return fail(FailureMalformed, false, err)
		}
		body = encoded
	}
	answer := newAnswerReceiver()
	request := appendRequest(nil, trip.method, trip.path, trip.address, body)
	c.send(exchange{address: trip.address, operation: trip.operation, request: request, newConnection: trip.newConnection, receiver: answer})
	select {
	case <-answer.done:
	case <-ctx.Done():
		sent, ended := answer.giveUp()
		if !ended {
			return fail(silentOrUnreachable(sent), sent, ctx.Err())
		}
	}
	if answer.failure != nil {
		return answer.failure
	}
	if answer.status/100 != statusOK/100 {
		return &Error{
			kind: FailureStatus, operation: trip.operation, address: trip.address, sent: true, status: answer.status,
			cause: fmt.Errorf("status %d: %.200s", answer.status, bytes.TrimSpace(answer.body)),
		}
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(answer.body, result); err != nil {
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
