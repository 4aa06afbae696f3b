package passthrough

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// aliveIdle, aliveInterval and aliveCount find open connections that have gone silent.
	aliveIdle     = time.Second
	aliveInterval = time.Second
	aliveCount    = 3
	// unackedTimeout ends a connection whose peer does not acknowledge what was sent.
	unackedTimeout = 3 * time.Second
)

// controlSocket sets the options of one socket before it is used; accepted sockets inherit those
// of the listener.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) { failure = setOptions(int(fd)) })
	if err != nil {
		return err
	}
	return failure
}

func setOptions(fd int) error {
	for _, option := range []struct{ level, name, value int }{
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(aliveIdle / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(aliveInterval / time.Second)},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, aliveCount},
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout / time.Millisecond)},
		{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
	} {
		if err := unix.SetsockoptInt(fd, option.level, option.name, option.value); err != nil {
			return err
		}
	}
	return nil
}
