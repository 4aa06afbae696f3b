package passthrough

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// TCP keep-alive probes a connection whose peer has been silent for keepAliveIdle, once per keepAliveInterval.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// ackTimeout is the time after which the kernel closes a connection to an endpoint or a daemon that acknowledges neither data
	// nor probes. As TCP_USER_TIMEOUT it takes the place of the number of probes, see tcp(7).
	ackTimeout = 3 * time.Second
	// callerAckTimeout is that of accepted connections. The kernel also counts the time in which a peer does not read, although it
	// acknowledges the probes, so it is longer than callers may take nothing of an answer.
	callerAckTimeout = maxSendPause + 2*time.Second
)

// control is a function that sets the options of a socket before it is used.
type control func(network, address string, raw syscall.RawConn) error

// controlWith returns the control that sets a timeout for acknowledgements. Accepted sockets inherit the options of the listener.
func controlWith(timeout time.Duration) control {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = setOptions(int(fd), timeout) })
		if err != nil {
			return err
		}
		return optionErr
	}
}

func setOptions(fd int, timeout time.Duration) error {
	for _, option := range []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout / time.Millisecond)},
		{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
	} {
		if err := unix.SetsockoptInt(fd, option.level, option.name, option.value); err != nil {
			return err
		}
	}
	return nil
}

// isEstablished reports whether both ends of a TCP connection may still send.
func isEstablished(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == unix.BPF_TCP_ESTABLISHED
}
