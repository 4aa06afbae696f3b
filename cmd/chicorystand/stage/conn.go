package stage

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

// lengthBytes is the size of a frame's length.
const lengthBytes = 4

// maxFrameBytes bounds one frame.
const maxFrameBytes = 16 << 20

// endOfHead ends the HTTP answer to an upgrade.
var endOfHead = []byte("\r\n\r\n")

// Conn is one connection between two engines.
type Conn struct {
	address string
	network *Network

	mu       sync.Mutex
	inner    *nbio.Conn
	open     bool
	closed   bool
	silent   bool
	unsent   []byte
	received []byte
	upgraded bool
	heard    time.Time
	pinged   time.Time
	trial    *Conn
	replaces *Conn
}

// Address returns the dialled address, or the empty string of an accepted connection.
func (c *Conn) Address() string { return c.address }

// Send writes one message, or keeps it until the connection is open.
func (c *Conn) Send(message *Message) {
	body, err := json.Marshal(message)
	if err != nil {
		return
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.silent {
		return
	}
	if !c.open {
		c.unsent = append(c.unsent, frame...)
		return
	}
	_, _ = c.inner.Write(frame)
}

// Received takes bytes of the connection and hands on whole messages.
func (c *Conn) Received(data []byte) {
	c.mu.Lock()
	if c.silent {
		c.mu.Unlock()
		return
	}
	c.received = append(c.received, data...)
	c.heard = c.network.timer.Now()
	c.takeHead()
	messages, err := c.takeMessages()
	c.mu.Unlock()
	for i := range messages {
		c.network.handle(c, &messages[i])
	}
	if err != nil {
		_ = c.inner.CloseWithError(err)
	}
}

// takeHead drops the HTTP answer to the upgrade and then sends what waited for it.
func (c *Conn) takeHead() {
	if c.upgraded {
		return
	}
	end := bytes.Index(c.received, endOfHead)
	if end < 0 {
		return
	}
	c.received = c.received[end+len(endOfHead):]
	c.upgraded = true
	c.open = true
	if len(c.unsent) > 0 {
		_, _ = c.inner.Write(c.unsent)
		c.unsent = nil
	}
}

func (c *Conn) takeMessages() ([]Message, error) {
	var messages []Message
	for c.upgraded && len(c.received) >= lengthBytes {
		length := int(binary.BigEndian.Uint32(c.received))
		if length > maxFrameBytes {
			return messages, errors.Errorf("frame of %d bytes exceeds %d", length, maxFrameBytes)
		}
		if len(c.received) < lengthBytes+length {
			break
		}
		var message Message
		err := json.Unmarshal(c.received[lengthBytes:lengthBytes+length], &message)
		if err != nil {
			return messages, errors.Wrap(err, "decode frame")
		}
		c.received = c.received[lengthBytes+length:]
		messages = append(messages, message)
	}
	if len(c.received) == 0 {
		c.received = nil
	}
	return messages, nil
}

// Close ends the connection.
func (c *Conn) Close() {
	c.mu.Lock()
	inner := c.inner
	c.mu.Unlock()
	if inner != nil {
		_ = inner.Close()
	}
}

// silence makes the connection silent for good.
func (c *Conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}
