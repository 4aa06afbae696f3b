package tcp

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// queueChunk is the size up to which queued bytes are collected in one piece of memory.
const queueChunk = 64 << 10

var errQueueFull = errors.New("the peer reads too slowly: too many bytes wait for it")

// Conn is a connection of a Loop. It is safe for concurrent use.
type Conn struct {
	loop *Loop
	fd   int
	// number tells this connection from others that have had the same descriptor.
	number        int32
	local, remote net.Addr
	handler       Handler

	// mu is held during each operation on the descriptor, so that none concerns one that was given out again.
	mu     sync.Mutex
	closed bool
	// queue holds the bytes that the kernel has not taken yet, queued is their number.
	queue  [][]byte
	queued int
	// paused is set while nothing is read, and awaitsEnd while the end is waited for all the same.
	paused, awaitsEnd bool
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

// Handler returns the handler of the connection.
func (c *Conn) Handler() Handler { return c.handler }

// Write sends bytes, or queues what the kernel does not take now. If it fails, it closes the connection.
func (c *Conn) Write(data []byte) error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	err := c.write(data)
	c.mu.Unlock()
	if err != nil {
		c.closeWith(err)
	}
	return err
}

// write is Write. The caller holds c.mu.
func (c *Conn) write(data []byte) error {
	if c.queued+len(data) > c.loop.config.MaxQueued {
		return errQueueFull
	}
	if c.queued > 0 {
		c.enqueue(data)
		return nil
	}
	left, err := c.send(data)
	if err != nil || len(left) == 0 {
		return err
	}
	c.enqueue(left)
	return c.awaitEvents()
}

// awaitEvents makes the loop wait for what the connection is ready for. The caller holds c.mu.
func (c *Conn) awaitEvents() error {
	var events uint32
	switch {
	case !c.paused:
		events |= readable
	case c.awaitsEnd:
		events |= unix.EPOLLRDHUP
	}
	if c.queued > 0 {
		events |= writable
	}
	return c.loop.poller.modify(c.fd, c.number, events)
}

// Pause stops reading, so that the peer has to wait once the kernel's buffers are full. The end of the connection shows only once it
// goes on, unless it has broken.
func (c *Conn) Pause() { c.setPaused(true, false) }

// PauseUntilEnd is Pause for a connection whose end must be noticed: what the kernel holds is read once the peer sends no more.
func (c *Conn) PauseUntilEnd() { c.setPaused(true, true) }

// Resume goes on reading after Pause or PauseUntilEnd.
func (c *Conn) Resume() { c.setPaused(false, false) }

func (c *Conn) setPaused(paused, awaitsEnd bool) {
	c.mu.Lock()
	var err error
	if !c.closed && (c.paused != paused || c.awaitsEnd != awaitsEnd) {
		c.paused, c.awaitsEnd = paused, awaitsEnd
		err = c.awaitEvents()
	}
	c.mu.Unlock()
	if err != nil {
		c.closeWith(err)
	}
}

// send passes bytes to the kernel and returns those that it has not taken. The caller holds c.mu.
func (c *Conn) send(data []byte) ([]byte, error) {
	for len(data) > 0 {
		n, err := unix.Write(c.fd, data)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return data, nil
		case err != nil:
			return data, err
		default:
			c.handler.OnWritten(n)
			data = data[n:]
		}
	}
	return nil, nil
}

// enqueue queues bytes. The caller holds c.mu.
func (c *Conn) enqueue(data []byte) {
	c.addQueued(len(data))
	if last := len(c.queue) - 1; last >= 0 && len(c.queue[last])+len(data) <= queueChunk {
		c.queue[last] = append(c.queue[last], data...)
		return
	}
	piece := make([]byte, 0, max(queueChunk, len(data)))
	c.queue = append(c.queue, append(piece, data...))
}

// addQueued counts bytes that are queued, or fewer if n is negative. The caller holds c.mu.
func (c *Conn) addQueued(n int) {
	c.queued += n
	c.loop.queued.Add(int64(n))
}

// flush sends queued bytes. The loop calls it.
func (c *Conn) flush() {
	c.mu.Lock()
	var err error
	if !c.closed {
		err = c.sendQueued()
	}
	c.mu.Unlock()
	if err != nil {
		c.closeWith(err)
	}
}

// sendQueued is flush. The caller holds c.mu.
func (c *Conn) sendQueued() error {
	for len(c.queue) > 0 {
		left, err := c.send(c.queue[0])
		c.addQueued(len(left) - len(c.queue[0]))
		if err != nil {
			return err
		}
		if len(left) > 0 {
			c.queue[0] = left
			return nil
		}
		c.queue[0] = nil
		c.queue = c.queue[1:]
	}
	c.queue = nil
	return c.awaitEvents()
}

// read reads and handles what there is, at most as often as Config.MaxReads says unless the peer sends no more. The loop calls it.
func (c *Conn) read(hasEnded bool) {
	buffer := c.loop.buffer
	for reads := 0; hasEnded || reads < c.loop.config.MaxReads; reads++ {
		n, err := c.receive(buffer, hasEnded)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN), errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			c.closeInLoop(err)
			return
		case n == 0:
			c.closeInLoop(io.EOF)
			return
		}
		c.handler.OnData(buffer[:n])
		if n < len(buffer) && !hasEnded {
			return // That was all; the loop is told of more.
		}
	}
}

// receive reads once. A paused connection is only read to its end.
func (c *Conn) receive(buffer []byte, hasEnded bool) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case c.paused && !hasEnded:
		return 0, unix.EAGAIN
	}
	return unix.Read(c.fd, buffer)
}

// Close closes the connection. What is still queued is dropped. Closing it again does nothing.
func (c *Conn) Close() { c.closeWith(nil) }

// Reset closes the connection such that the peer cannot take its end for an orderly one.
func (c *Conn) Reset() {
	c.control(func(fd int) {
		_ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0}) // If it fails, the peer is gone.
	})
	c.Close()
}

// SetAckTimeout sets the time after which the kernel closes the connection if the peer acknowledges nothing.
func (c *Conn) SetAckTimeout(timeout time.Duration) {
	c.control(func(fd int) {
		// It fails only if the connection has ended, which needs no timeout.
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
	})
}

// Unread returns the number of bytes that the kernel has received and that have not been read.
func (c *Conn) Unread() int {
	unread := 0
	c.control(func(fd int) { unread, _ = unix.IoctlGetInt(fd, unix.SIOCINQ) }) // It fails only if the connection has ended.
	return unread
}

// control calls a function with the descriptor, unless the connection was closed.
func (c *Conn) control(change func(fd int)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		change(c.fd)
	}
}

// closeWith closes the connection and has its handler told by the loop.
func (c *Conn) closeWith(err error) {
	if c.shut() {
		c.loop.postClosed(c, err)
	}
}

// closeInLoop is closeWith for the loop itself, which tells the handler at once.
func (c *Conn) closeInLoop(err error) {
	if c.shut() {
		c.handler.OnClose(err)
	}
}

// shut closes the descriptor. It returns false if it was closed before.
func (c *Conn) shut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	c.addQueued(-c.queued)
	c.queue = nil
	c.loop.connections[c.fd].CompareAndSwap(c, nil)
	_ = unix.Close(c.fd)
	return true
}
