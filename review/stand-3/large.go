package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// pageBytes is the size of a large answer, slowRate what a slow consumer reads in a second, readPiece what it reads at a time.
	pageBytes = 24 << 20
	slowRate  = 4 << 20
	readPiece = 64 << 10
	// largeRequests is the number of large answers, of which the rule allows three to be lost.
	largeRequests = 5
	allowedLost   = 3
)

// servePage answers with as many bytes as the last part of the path says.
func servePage(e *engine, w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.PathValue("size"))
	if size == 0 {
		_, _ = fmt.Sscanf(r.URL.Path, "/page/%d", &size)
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	piece := make([]byte, readPiece)
	for left := size; left > 0; left -= len(piece) {
		piece = piece[:min(len(piece), left)]
		if _, err := w.Write(piece); err != nil {
			e.platform.record.add("engine %s: request %s was broken off with %d bytes left: its channel was closed", e.id, r.Header.Get("Request-Id"), left)
			return
		}
	}
	e.platform.record.add("engine %s has made the whole answer to %s, %d bytes", e.id, r.Header.Get("Request-Id"), size)
}

// channel is a consumer's kept channel.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	// lastID is the ID of the last request.
	lastID string
}

func openChannel(to string) (*channel, error) {
	conn, err := net.Dial("tcp", to)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReaderSize(conn, readPiece)}, nil
}

// get sends a GET request and reads its answer at a rate in bytes a second, or as fast as possible if it is 0.
func (c *channel) get(path string, rate int) (status, bytes int, err error) {
	c.lastID = newID()
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n%s: 20000\r\n%s: %s\r\n\r\n", path, host, c.lastID, names["deadline"], names["key"], tenantKey)
	if _, err := io.WriteString(c.conn, request); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	begun, piece := time.Now(), make([]byte, readPiece)
	for {
		n, err := response.Body.Read(piece)
		bytes += n
		if err == io.EOF {
			return response.StatusCode, bytes, nil
		}
		if err != nil {
			return response.StatusCode, bytes, err
		}
		if rate > 0 {
			time.Sleep(time.Until(begun.Add(time.Duration(float64(bytes) / float64(rate) * float64(time.Second)))))
		}
	}
}

// playLarge fetches large answers over kept channels, with a consumer that reads steadily but more slowly than the engine sends.
func playLarge(p *platform) (bool, error) {
	p.configure(7, []map[string]any{route("r-page", "/page/", "safe", "library", 20000, 150, 2)}, "library")
	for _, zone := range []string{"xinyi", "neihu", "banqiao"} {
		if err := p.addEngines(1, "library", zone, 6, servePage); err != nil {
			return false, err
		}
	}
	if err := p.addDaemons("xinyi", "neihu"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	rate := 0
	if p.trouble {
		rate = slowRate
	}
	lost := 0
	for n := range largeRequests {
		c, err := openChannel(p.daemons[n%2].callers())
		if err != nil {
			return false, err
		}
		status, bytes, err := c.get("/page/800", 0)
		p.record.add("a first, small request over the channel: status %d, %d bytes, error %v", status, bytes, err)
		if err != nil || status != http.StatusOK {
			return false, fmt.Errorf("a small request failed: status %d, error %v", status, err)
		}
		status, bytes, err = c.get(fmt.Sprintf("/page/%d", pageBytes), rate)
		p.record.add("a large request over the kept channel: status %d, %d of %d bytes, error %v", status, bytes, pageBytes, err)
		if err != nil || bytes < pageBytes && status == http.StatusOK {
			lost++
		}
		_ = c.conn.Close()
	}
	p.record.add("%d of %d large answers were lost, %d are allowed", lost, largeRequests, allowedLost)
	return lost > allowedLost, nil
}
