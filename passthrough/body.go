package passthrough

import (
	"net/http"
	"slices"
)

const (
	// minPiece and maxPiece bound the size of a bodyBuffer's pieces.
	minPiece = 512
	maxPiece = 64 << 10
	// fieldMemory is the memory that each field of a parsed head takes: 80 to 119 bytes were measured with 10 to 2,000 fields of 7 bytes.
	// copiesOfHead is how often the text is held: as received and as parsed.
	fieldMemory  = 120
	copiesOfHead = 2
)

// bodyBuffer collects a body. Unlike a slice that grows, it takes little more memory than the body has bytes, and leaves none behind for
// the garbage collector, while its caller decides how long it remains incomplete.
type bodyBuffer struct {
	pieces [][]byte
	size   int
}

// append copies bytes to the end of the body.
func (b *bodyBuffer) append(data []byte) {
	b.size += len(data)
	for len(data) > 0 {
		last := len(b.pieces) - 1
		if last < 0 || len(b.pieces[last]) == cap(b.pieces[last]) {
			size := min(maxPiece, max(minPiece, b.size))
			b.pieces = append(b.pieces, make([]byte, 0, size))
			last++
		}
		piece := b.pieces[last]
		n := min(len(data), cap(piece)-len(piece))
		b.pieces[last] = append(piece, data[:n]...)
		data = data[n:]
	}
}

// join returns the body in one piece.
func (b *bodyBuffer) join() []byte {
	switch len(b.pieces) {
	case 0:
		return nil
	case 1:
		return b.pieces[0]
	default:
		return slices.Concat(b.pieces...)
	}
}

// headMemoryOf returns the memory that a head of a number of bytes takes. Fields count, as thousands fit into one head.
func headMemoryOf(head *http.Request, bytes int) int64 {
	return int64(copiesOfHead*bytes + fieldMemory*len(head.Header))
}
