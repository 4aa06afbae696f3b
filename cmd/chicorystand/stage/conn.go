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

// lengthBytes is the size of the length field of a frame.
const lengthBytes = 4

// maxFrameBytes is the maximum size of a received frame, without its length field.
const maxFrameBytes = 16 << 20

// headerEnd ends the header of the HTTP response to the upgrade.
var headerEnd = []byte("\r\n\r\n")

// Conn is one connection between two engines.
type Conn struct {
	address string
	pool    *ConnPool

	mu           sync.Mutex
	inner        *nbio.Conn // nil until the connection is established
	open         bool       // messages can be sent; always equal to upgraded
	closed       bool
	silenced     bool   // the fault injected by silence: data is discarded in both directions
	unsent       []byte // frames that wait until the connection is open
	received     []byte // data not decoded yet
	upgraded     bool   // frames are received: the response to the upgrade has arrived, or the connection was accepted
	lastReceived time.Time
	lastPing     time.Time
	replacement  *Conn // a new connection that may replace this one, or nil
	replaces     *Conn // the connection that this one may replace, or nil
}

// Address returns the dialed address, or "" for an accepted connection.
func (c *Conn) Address() string { return c.address }

// Send sends a message, or queues it until the connection is open. It drops the message if the connection is closed or
// silenced. An error of writing closes the connection.
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
	if c.closed || c.silenced {
		return
	}
	if !c.open {
		c.unsent = append(c.unsent, frame...)
		return
	}
	_, _ = c.inner.Write(frame)
}

// HandleData handles data received on the connection and passes complete messages to the pool's Handler. A frame that
// cannot be decoded closes the connection. It is exported for accepted connections, whose data an HTTP server receives.
func (c *Conn) HandleData(data []byte) {
	c.mu.Lock()
	if c.silenced {
		c.mu.Unlock()
		return
	}
	c.received = append(c.received, data...)
	c.lastReceived = c.pool.timer.Now()
	c.skipUpgradeResponse()
	messages, err := c.decodeMessages()
	c.mu.Unlock()
	for i := range messages {
		c.pool.handle(c, &messages[i])
	}
	if err != nil {
		_ = c.inner.CloseWithError(err)
	}
}

// skipUpgradeResponse drops the header of the HTTP response to the upgrade. After it, the connection is open, and
// queued frames are sent. It takes any response as acceptance, without checking its status. The caller holds mu.
func (c *Conn) skipUpgradeResponse() {
	if c.upgraded {
		return
	}
	end := bytes.Index(c.received, headerEnd)
	if end < 0 {
		return
	}
	c.received = c.received[end+len(headerEnd):]
	c.upgraded = true
	c.open = true
	if len(c.unsent) > 0 {
		_, _ = c.inner.Write(c.unsent)
		c.unsent = nil
	}
}

// decodeMessages removes all complete frames from the received data and returns their messages. The caller holds mu.
func (c *Conn) decodeMessages() ([]Message, error) {
	var messages []Message
	for c.upgraded && len(c.received) >= lengthBytes {
		length := int(binary.BigEndian.Uint32(c.received))
		if length > maxFrameBytes {
			return messages, errors.Errorf("frame of %d bytes exceeds the maximum of %d", length, maxFrameBytes)
		}
		if len(c.received) < lengthBytes+length {
			break
		}
		var message Message
		err := json.Unmarshal(c.received[lengthBytes:lengthBytes+length], &message)
		if err != nil {
			return messages, errors.Wrapf(err, "decode a frame of %d bytes", length)
		}
		c.received = c.received[lengthBytes+length:]
		messages = append(messages, message)
	}
	if len(c.received) == 0 {
		c.received = nil
	}
	return messages, nil
}

// Close closes the connection.
func (c *Conn) Close() {
	c.mu.Lock()
	inner := c.inner
	c.mu.Unlock()
	if inner != nil {
		_ = inner.Close()
	}
}

// silence injects a fault: the connection discards all data in both directions permanently, but stays open.
func (c *Conn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silenced = true
}
