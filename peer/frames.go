package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"chicoryhall.example/chicoryhall"
)

const (
	// maxMessageBytes bounds one message in either direction.
	maxMessageBytes = 4 << 20
	// frameHeaderBytes is the size of the big-endian message length before each message.
	frameHeaderBytes = 4
	// writeTimeout bounds one write, in case the peer does not read.
	writeTimeout = 2 * time.Second
)

// frameStream is a jsonrpc2.ObjectStream that carries length-prefixed JSON messages.
type frameStream struct {
	conn   net.Conn
	reader *bufio.Reader
	timer  chicoryhall.Timer
	// messagesRead counts the complete messages received.
	messagesRead atomic.Int64
	// lastReadBytes is the size of the last message received, length included. Only the reading goroutine uses it.
	lastReadBytes int
	// beforeWrite is called with the size of each message before it is written, length included.
	beforeWrite func(size int)
}

func newFrameStream(conn net.Conn, timer chicoryhall.Timer) *frameStream {
	return &frameStream{conn: conn, reader: bufio.NewReader(conn), timer: timer, beforeWrite: func(int) {}}
}

// WriteObject sends one message.
func (f *frameStream) WriteObject(object any) error {
	message, err := json.Marshal(object)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(message) > maxMessageBytes {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", len(message), maxMessageBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(message))
	binary.BigEndian.PutUint32(frame, uint32(len(message)))
	frame = append(frame, message...)
	f.beforeWrite(len(frame))
	if err := f.conn.SetWriteDeadline(f.timer.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := f.conn.Write(frame); err != nil {
		_ = f.conn.Close() // A part of the frame may have been sent.
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// ReadObject receives one message.
func (f *frameStream) ReadObject(object any) error {
	message, err := readFrame(f.reader)
	if err != nil {
		return err
	}
	f.lastReadBytes = frameHeaderBytes + len(message)
	f.messagesRead.Add(1)
	return json.Unmarshal(message, object)
}

// Close closes the connection.
func (f *frameStream) Close() error {
	return f.conn.Close()
}

// readFrame reads the length and the bytes of one message.
func readFrame(reader io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds the limit of %d", size, maxMessageBytes)
	}
	message := make([]byte, size)
	if _, err := io.ReadFull(reader, message); err != nil {
		return nil, err
	}
	return message, nil
}

var _ jsonrpc2.ObjectStream = (*frameStream)(nil)
