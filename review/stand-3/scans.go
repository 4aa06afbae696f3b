package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// scanBytes is the size of an answer. An engine makes all but the last piece at once, and the last one after scanTime.
	scanBytes = 1000 << 10
	scanPiece = 20 << 10
	scanTime  = 4 * time.Second
	// usualRate is the number of requests a second at each machine, and burstFactor times as many come during burstTime.
	usualRate   = 44
	burstFactor = 1.7
	usualTime   = 12 * time.Second
	burstTime   = 5 * time.Second
	// memoryLimit is that of a machine in bytes, 284 MB of the settings; a process that exceeds it is killed.
	memoryLimit = 284 << 20
)

// serveScan answers with a scanned page, or with a short text for a path that ends with "small".
func serveScan(_ *engine, w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "small") {
		_, _ = w.Write(make([]byte, 800))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(scanBytes))
	piece := make([]byte, scanPiece)
	for sent := 0; sent < scanBytes; sent += len(piece) {
		if sent+len(piece) == scanBytes {
			_ = http.NewResponseController(w).Flush()
			if !sleep(r.Context(), scanTime) {
				return
			}
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// scans counts the answers to large requests over kept channels.
type scans struct {
	mu sync.Mutex
	// sent, whole, refused and closed count requests: all, those with a whole answer, with another status, and those whose channel has closed
	// without one.
	sent, whole, refused, closed int
}

// fetch sends a small request over a new channel and then a large one.
func (s *scans) fetch(p *platform, to string) {
	c, err := openChannel(to)
	if err != nil {
		return
	}
	defer c.conn.Close()
	if status, _, err := c.get("/scan/small", 0); err != nil || status != http.StatusOK {
		return
	}
	status, bytes, err := c.get("/scan/1", 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case err == nil && status == http.StatusOK && bytes == scanBytes:
		s.whole++
	case err == nil && status != http.StatusOK:
		s.refused++
	case p.hasRun(c.lastID):
		s.closed++
	}
}

// memoryOf returns the memory of a process in bytes, without that of the program's file.
func memoryOf(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64) // 0 if it cannot be read
			return kb << 10
		}
	}
	return 0
}

// limitMemory kills a daemon that exceeds the memory of its machine, as the platform does.
func (p *platform) limitMemory(d *daemon, stop chan struct{}) (peak int64, killed bool) {
	for {
		select {
		case <-stop:
			return peak, false
		case <-time.After(20 * time.Millisecond):
		}
		now := memoryOf(d.process.Process.Pid)
		if peak = max(peak, now); now > memoryLimit {
			p.record.add("%s holds %d MB, more than its machine has: it is killed", d.name, now>>20)
			_ = d.process.Process.Kill()
			return peak, true
		}
	}
}

// playScans sends large requests at a steady rate, and more of them for some seconds.
func playScans(p *platform) (bool, error) {
	p.configure(7, []map[string]any{route("r-scan", "/scan/", "safe", "library", 20000, 6000, 2)}, "library")
	for _, zone := range []string{"xinyi", "neihu", "banqiao"} {
		if err := p.addEngines(1, "library", zone, 192, serveScan); err != nil {
			return false, err
		}
	}
	if err := p.addDaemons("xinyi"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	d, all := p.daemons[0], &scans{}
	stop, watching, sending := make(chan struct{}), sync.WaitGroup{}, sync.WaitGroup{}
	watching.Go(func() {
		peak, killed := p.limitMemory(d, stop)
		p.record.add("%s held %d MB at most, killed %t", d.name, peak>>20, killed)
	})
	begun := time.Now()
	for time.Since(begun) < usualTime+burstTime+5*time.Second {
		sending.Go(func() { all.fetch(p, d.callers()) })
		pause := time.Second / usualRate
		if at := time.Since(begun); p.trouble && at >= usualTime && at < usualTime+burstTime {
			pause = time.Duration(float64(pause) / burstFactor)
		}
		time.Sleep(pause)
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	p.record.add("%d large requests over kept channels: %d answered whole, %d refused, %d passed on to an engine and closed without an answer, %d are allowed",
		all.sent, all.whole, all.refused, all.closed, allowedLost)
	return all.closed > allowedLost, nil
}
