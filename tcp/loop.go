package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

const (
	// MaxDescriptors bounds the file descriptors of connections.
	MaxDescriptors = 8192
	// acceptPause is the time from a failed accept, for instance for lack of file descriptors, to the next one.
	acceptPause = 50 * time.Millisecond
)

// ErrStopped reports that the loop was stopped.
var ErrStopped = errors.New("the event loop has stopped")

// Handler handles what happens on a connection.
type Handler interface {
	// OnData handles received bytes, which are valid only during the call. The loop calls it.
	OnData(data []byte)
	// OnClose is called once, by the loop, when the connection has been closed: with io.EOF if the peer closed it, the error if
	// it broke, and nil if it was closed here without an error.
	OnClose(err error)
	// OnWritten is called when the kernel has taken n bytes. A lock is held, so it must not use the connection.
	OnWritten(n int)
	// OnFlushed is called by the loop when the kernel has taken queued bytes.
	OnFlushed()
}

// Config describes a Loop.
type Config struct {
	// Addresses are where it accepts connections, IP:PORT.
	Addresses []string
	// Listen opens a listener.
	Listen func(address string) (net.Listener, error)
	// Admit reports whether a connection that was accepted may stay; otherwise it is closed. If it is nil, all may.
	Admit func(accepted net.Conn) bool
	// Accepted returns the handler of a connection that was accepted. It must not use the connection yet.
	Accepted func(*Conn) Handler
	// ReadBuffer is the size of the read buffer in bytes.
	ReadBuffer int
	// MaxReads is the number of times that one connection is read before others are.
	MaxReads int
	// MaxQueued bounds the bytes that are queued for a peer that reads too slowly. Beyond it, the connection is closed.
	MaxQueued int
	// MaxDescriptors bounds the file descriptors of connections: one with a descriptor of this number or above is closed. 0 means
	// MaxDescriptors, which is also the largest value.
	MaxDescriptors int
}

// Loop is an event loop.
type Loop struct {
	config    Config
	poller    *poller
	listeners []net.Listener
	// group runs the loop and the functions that accept connections.
	group errgroup.Group
	// numbers counts connections; see Conn.number.
	numbers atomic.Int32
	// queued is the number of bytes that are queued on all connections.
	queued atomic.Int64
	buffer []byte
	// connections holds the open connections by their descriptors.
	connections [MaxDescriptors]atomic.Pointer[Conn]

	mu sync.Mutex
	// closed are the connections whose handlers have not been told yet. sleeping is set while the loop waits for events.
	closed   []closedConn
	sleeping bool
	stopping bool
}

// closedConn is a connection that was closed, with the reason.
type closedConn struct {
	conn *Conn
	err  error
}

// NewLoop returns a Loop that does nothing before Start.
func NewLoop(config Config) *Loop {
	if config.MaxDescriptors <= 0 || config.MaxDescriptors > MaxDescriptors {
		config.MaxDescriptors = MaxDescriptors
	}
	return &Loop{config: config, buffer: make([]byte, config.ReadBuffer)}
}

// Start starts to listen and to handle connections.
func (l *Loop) Start() error {
	var err error
	if l.poller, err = newPoller(); err != nil {
		return err
	}
	for _, address := range l.config.Addresses {
		listener, err := l.config.Listen(address)
		if err != nil {
			l.closeListeners()
			l.listeners = nil // Start may be called again.
			l.poller.close()
			return errors.WithStack(err)
		}
		l.listeners = append(l.listeners, listener)
	}
	l.group.Go(l.run)
	for _, listener := range l.listeners {
		l.group.Go(func() error { return l.accept(listener) })
	}
	return nil
}

// Address returns the address of the listener with the given number, once the loop has started.
func (l *Loop) Address(number int) string { return l.listeners[number].Addr().String() }

// Queued returns the number of bytes that wait for peers that read too slowly, on all connections.
func (l *Loop) Queued() int64 { return l.queued.Load() }

// Stop closes all listeners and connections, and returns once the handlers have been told.
func (l *Loop) Stop() {
	l.closeListeners()
	l.mu.Lock()
	l.stopping = true
	l.wakeLocked()
	l.mu.Unlock()
	_ = l.group.Wait() // An error has ended the loop before, and its connections.
}

func (l *Loop) closeListeners() {
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
}

// accept accepts connections until its listener is closed.
func (l *Loop) accept(listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			time.Sleep(acceptPause)
		case l.config.Admit != nil && !l.config.Admit(accepted):
			_ = accepted.Close()
		default:
			// A connection that cannot be added is closed, which its peer sees.
			_, _ = l.Add(accepted, l.config.Accepted)
		}
	}
}

// Add takes over an open connection. handlerOf returns its handler, and must not use the connection yet. If Add
// fails, the connection is closed.
func (l *Loop) Add(opened net.Conn, handlerOf func(*Conn) Handler) (*Conn, error) {
	fd, err := takeDescriptor(opened)
	if err != nil {
		return nil, err
	}
	if fd >= l.config.MaxDescriptors {
		_ = unix.Close(fd)
		return nil, errors.Errorf("more than %d file descriptors are open", l.config.MaxDescriptors)
	}
	conn := &Conn{loop: l, fd: fd, number: l.nextNumber(), local: opened.LocalAddr(), remote: opened.RemoteAddr()}
	conn.handler = handlerOf(conn)
	if err := l.register(conn); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return conn, nil
}

// nextNumber returns a number for a connection. It is not given out again before billions of others.
func (l *Loop) nextNumber() int32 {
	if number := l.numbers.Add(1); number != wakeNumber {
		return number
	}
	return l.numbers.Add(1)
}

// register makes the loop wait for a connection. The lock keeps the loop from ending before.
func (l *Loop) register(conn *Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return ErrStopped
	}
	l.connections[conn.fd].Store(conn)
	if err := l.poller.add(conn.fd, conn.number); err != nil {
		l.connections[conn.fd].Store(nil)
		return err
	}
	return nil
}

// takeDescriptor returns a descriptor of an open connection, which is not that of package net any more.
func takeDescriptor(opened net.Conn) (int, error) {
	defer func() { _ = opened.Close() }() // It leaves the connection open, as the descriptor is a second one.
	holder, ok := opened.(interface {
		SyscallConn() (syscall.RawConn, error)
	})
	if !ok {
		return 0, errors.Errorf("a connection of type %T has no file descriptor", opened)
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var fd int
	var dupErr error
	if err := raw.Control(func(old uintptr) { fd, dupErr = unix.FcntlInt(old, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return 0, errors.WithStack(err)
	}
	return fd, errors.Wrap(dupErr, "duplicate a file descriptor")
}

// run handles events until the loop is stopped.
func (l *Loop) run() error {
	defer l.poller.close()
	for {
		if l.tellClosed() {
			l.closeAll()
			return nil
		}
		events, err := l.poller.wait()
		l.setAwake()
		if err != nil {
			l.closeAll()
			return err
		}
		for i := range events {
			l.handle(&events[i])
		}
	}
}

// handle handles an event, unless its connection was closed since.
func (l *Loop) handle(event *unix.EpollEvent) {
	if event.Pad == wakeNumber {
		l.poller.clearInterrupt()
		return
	}
	conn := l.connections[event.Fd].Load()
	if conn == nil || conn.number != event.Pad {
		return
	}
	if event.Events&writable != 0 {
		conn.flush()
		conn.handler.OnFlushed()
	}
	if event.Events&(readable|ended) != 0 {
		conn.read(event.Events&ended != 0)
	}
}

// setAwake records that the loop handles events.
func (l *Loop) setAwake() {
	l.mu.Lock()
	l.sleeping = false
	l.mu.Unlock()
}

// tellClosed tells the handlers of connections that were closed. When it returns, none is left, and the loop counts as
// waiting. It returns true if the loop is to stop.
func (l *Loop) tellClosed() bool {
	for {
		l.mu.Lock()
		closed := l.closed
		l.closed = nil
		l.sleeping = len(closed) == 0
		stopping := l.stopping
		l.mu.Unlock()
		if len(closed) == 0 {
			return stopping
		}
		for _, one := range closed {
			one.conn.handler.OnClose(one.err)
		}
	}
}

// closeAll closes all connections and tells their handlers.
func (l *Loop) closeAll() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	for i := range l.connections {
		if conn := l.connections[i].Load(); conn != nil {
			conn.Close()
		}
	}
	l.tellClosed()
}

// postClosed has the handler of a connection told that it was closed.
func (l *Loop) postClosed(conn *Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = append(l.closed, closedConn{conn: conn, err: err})
	l.wakeLocked()
}

// wakeLocked makes the loop go on if it waits. The caller holds l.mu.
func (l *Loop) wakeLocked() {
	if l.sleeping {
		l.sleeping = false
		l.poller.interrupt()
	}
}
