package platformdaemon

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// crashProbeTimeout bounds the time to open a connection to an endpoint that may have crashed.
	crashProbeTimeout = 300 * time.Millisecond
	// crashProbeLinger is how long a new connection is watched: where nothing listens, it may be reset only after it opened.
	crashProbeLinger = 30 * time.Millisecond
)

// crashProbe is what a new connection shows of an endpoint.
type crashProbe int

const (
	// probeUnclear means that the address does not answer: the endpoint or the link to it may be down.
	probeUnclear crashProbe = iota
	// probeAlive means that something listens at the address.
	probeAlive
	// probeGone means that nothing listens there.
	probeGone
)

// newEndpointProbe returns a function that opens a connection from an IP address, unless that is nil, to an endpoint's
// address and closes it without sending anything.
func newEndpointProbe(source net.IP) func(context.Context, string) crashProbe {
	dialer := &net.Dialer{KeepAlive: -1}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	return func(ctx context.Context, address string) crashProbe { return probeEndpoint(ctx, dialer, address) }
}

func probeEndpoint(ctx context.Context, dialer *net.Dialer, address string) crashProbe {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return probeGone
	}
	if err != nil {
		return probeUnclear
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(crashProbeLinger)); err != nil {
		return probeUnclear
	}
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		return probeGone
	}
	return probeAlive
}
