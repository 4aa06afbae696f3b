package tcp

import (
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxEvents is the number of events that the loop gets at a time.
	maxEvents = 1024
	// readable and writable are the events that a connection waits for. Errors are always reported.
	readable = unix.EPOLLIN | unix.EPOLLPRI | unix.EPOLLRDHUP
	writable = unix.EPOLLOUT
	// ended are the events after which nothing but the rest of the data can be read.
	ended = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// wakeNumber is the number of the descriptor that wakes the loop, which no connection has.
const wakeNumber = 0

// poller waits for events of descriptors.
type poller struct {
	epoll int
	// wake is an eventfd that ends a wait.
	wake   int
	events [maxEvents]unix.EpollEvent
}

func newPoller() (*poller, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errors.Wrap(err, "create an epoll instance")
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		_ = unix.Close(epoll)
		return nil, errors.Wrap(err, "create an eventfd")
	}
	p := &poller{epoll: epoll, wake: wake}
	if err := p.add(wake, wakeNumber); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *poller) close() {
	_ = unix.Close(p.epoll)
	_ = unix.Close(p.wake)
}

// add waits for a descriptor to become readable from now on. Its events carry the given number.
func (p *poller) add(fd int, number int32) error {
	event := unix.EpollEvent{Events: readable, Fd: int32(fd), Pad: number}
	return errors.Wrap(unix.EpollCtl(p.epoll, unix.EPOLL_CTL_ADD, fd, &event), "wait for a connection")
}

// modify changes the events that a descriptor waits for.
func (p *poller) modify(fd int, number int32, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: number}
	return errors.Wrap(unix.EpollCtl(p.epoll, unix.EPOLL_CTL_MOD, fd, &event), "wait for a connection")
}

// wait returns the next events, which are valid until it is called again.
func (p *poller) wait() ([]unix.EpollEvent, error) {
	n, err := unix.EpollWait(p.epoll, p.events[:], -1)
	if errors.Is(err, unix.EINTR) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "wait for events")
	}
	return p.events[:n], nil
}

// interrupt ends a wait.
func (p *poller) interrupt() {
	_, _ = unix.Write(p.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0}) // It fails only if the wait ends anyway.
}

// clearInterrupt handles the event of interrupt.
func (p *poller) clearInterrupt() {
	var count [8]byte
	_, _ = unix.Read(p.wake, count[:])
}
