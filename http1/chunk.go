package http1

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxPendingChunkLine bounds the buffered part of an incomplete line with a chunk's size, in bytes.
	maxPendingChunkLine = 1 << 10
	// maxPendingTrailerLine bounds the buffered part of an incomplete line of a chunked body's trailer, in bytes.
	maxPendingTrailerLine = 16 << 10
	// maxTrailer bounds the trailer of a chunked body, in bytes.
	maxTrailer = 64 << 10
	// hexBase is the base of a chunk's size.
	hexBase = 16
	// chunkSizeBits bounds the size of a chunk, so that it fits into an int64.
	chunkSizeBits = 62
)

var endOfLine = []byte("\r\n")

// cutLine returns the line at the beginning of data without its line ending, and the length of the line
// including it. The length is 0 if the line is incomplete; more than limit bytes of an incomplete line are an
// error. A complete line may be longer, as it is used at once and need not be buffered.
func cutLine(data []byte, limit int) (text []byte, used int, err error) {
	end := bytes.Index(data, endOfLine)
	if end < 0 {
		if len(data) > limit {
			return nil, 0, errors.Errorf("a line of a chunked body is longer than %d bytes", limit)
		}
		return nil, 0, nil
	}
	return data[:end], end + len(endOfLine), nil
}

const (
	// maxPlainDigits is the number of digits up to which plainChunkSize reads a chunk's size.
	maxPlainDigits = 8
	// hexLetters is the value of the first hexadecimal digit that is a letter.
	hexLetters = 10
)

// plainChunkSize reads a line with nothing but a chunk's size, and returns its length with the line ending. It is 0 for any other line.
// Callers may send bodies of a million chunks: one-byte chunks take 51 ns each with it, and 108 ns without.
func plainChunkSize(data []byte) (size int64, used int) {
	for i, c := range data[:min(len(data), maxPlainDigits+1)] {
		switch {
		case '0' <= c && c <= '9':
			size = size*hexBase + int64(c-'0')
		case 'a' <= c && c <= 'f':
			size = size*hexBase + int64(c-'a') + hexLetters
		case 'A' <= c && c <= 'F':
			size = size*hexBase + int64(c-'A') + hexLetters
		case c == '\r' && 0 < i && i+1 < len(data) && data[i+1] == '\n':
			return size, i + len(endOfLine)
		default:
			return 0, 0
		}
	}
	return 0, 0
}

func (r *Reader[H]) stepChunkSize(data []byte) (int, error) {
	size, used := plainChunkSize(data)
	if used == 0 {
		var err error
		if size, used, err = chunkSize(data); err != nil || used == 0 {
			return 0, err
		}
	}
	r.remaining = size
	r.state = stateChunkData
	if r.remaining == 0 {
		r.state = stateTrailer
		r.trailerBytes = 0
	}
	return used, nil
}

// chunkSize reads a line with a chunk's size, and returns its length with the line ending, which is 0 if the line is incomplete.
func chunkSize(data []byte) (int64, int, error) {
	text, used, err := cutLine(data, maxPendingChunkLine)
	if err != nil || used == 0 {
		return 0, 0, err
	}
	size, _, _ := bytes.Cut(text, []byte(";")) // Chunk extensions are ignored.
	number, err := strconv.ParseInt(string(bytes.TrimRight(size, " \t")), hexBase, chunkSizeBits)
	if err != nil || number < 0 || size[0] == '+' || size[0] == '-' {
		return 0, 0, errors.Errorf("the chunk size %q is no hexadecimal number", size)
	}
	return number, used, nil
}

func (r *Reader[H]) stepChunkData(data []byte) (int, error) {
	used := int(min(int64(len(data)), r.remaining))
	if err := r.deliver(data[:used]); err != nil {
		return 0, err
	}
	r.remaining -= int64(used)
	if r.remaining == 0 {
		r.state = stateChunkEnd
	}
	return used, nil
}

func (r *Reader[H]) stepChunkEnd(data []byte) (int, error) {
	if len(data) < len(endOfLine) {
		return 0, nil
	}
	if !bytes.HasPrefix(data, endOfLine) {
		return 0, errors.Errorf("a chunk is followed by %q instead of an end of line", data[:len(endOfLine)])
	}
	r.state = stateChunkSize
	return len(endOfLine), nil
}

// stepTrailer reads a field of the trailer, which is ignored, or the end of the message.
func (r *Reader[H]) stepTrailer(data []byte) (int, error) {
	text, used, err := cutLine(data, maxPendingTrailerLine)
	if err != nil || used == 0 {
		return 0, err
	}
	if len(text) == 0 {
		return used, r.endMessage()
	}
	if r.trailerBytes += used; r.trailerBytes > maxTrailer {
		return 0, errors.Errorf("the trailer of a chunked body is longer than %d bytes", maxTrailer)
	}
	return used, nil
}
