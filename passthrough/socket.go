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
	// ackTimeout is the time after which the kernel closes a connection whose peer acknowledges neither data nor probes. As
	// TCP_USER_TIMEOUT it takes the place of the number of probes, see tcp(7).
	ackTimeout = 3 * time.Second
	// unreadAckTimeout takes its place while a caller has a long answer to read. The kernel also counts the time in which a peer does
	// not read, although it acknowledges the probes, so it is longer than callers may take nothing.
	unreadAckTimeout = maxSendPause + 2*time.Second
	// minUnread is the size of an answer in bytes from which on a part of it may wait for a caller that does not read; a smaller
	// one fits into any peer's buffer.
	minUnread = 16 << 10
)

// controlSocket sets the options of a socket before it is used. Accepted sockets inherit those of the
// listener.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = setOptions(int(fd)) })
	if err != nil {
		return err
	}
	return optionErr
}

// controlListener is controlSocket for a listener. The kernel's buffers for what callers send count as memory of the VM.
func controlListener(network, address string, raw syscall.RawConn) error {
	if err := controlSocket(network, address, raw); err != nil {
		return err
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	if err != nil {
		return err
	}
	return optionErr
}

func setOptions(fd int) error {
	for _, option := range []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout / time.Millisecond)},
		{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
	} {
		if err := unix.SetsockoptInt(fd, option.level, option.name, option.value); err != nil {
			return err
		}
	}
	return nil
}
