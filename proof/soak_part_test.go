package proof

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// partCrashes is the number of endpoints that a part of a prompt may crash before it counts how often it arrives. It may
	// arrive maxLateArrivals times later than crashGrace after the last of them.
	partCrashes = 5
	// soundGrace is the time after that crash from which on sound requests must be served minSoundShare as often as before.
	soundGrace    = 2 * crashGrace
	minSoundShare = 0.5
	// partTestTime is how long requests with a part that crashes endpoints are sent.
	partTestTime = 20 * time.Second
	// soundTopics is the number of second parts that sound requests share.
	soundTopics = 12
)

// soundParts lists the parts of a sound request's prompt: one that all share, one that some share, and its own.
func soundParts(id string) string {
	topic := 0
	for _, c := range id {
		topic = (topic*31 + int(c)) % soundTopics
	}
	return fmt.Sprintf("a1:40,b%x:60,c%x:10", topic, topic)
}

// poisonedParts returns a function that lists parts like soundParts, with one that crashes endpoints.
func poisonedParts(part string) func(string) string {
	return func(id string) string { return "a1:40," + part + ":60," + fmt.Sprintf("c%x:10", len(id)) }
}

// startCallersWithParts starts callers that send streams with the given parts, each with a body of its own, and repeat what
// was refused.
func startCallersWithParts(w *soakPlatform, name string, count int, partsOf func(string) string) *callers {
	cs := &callers{end: make(chan struct{})}
	for i := range count {
		cs.start(&soakCaller{
			platform: w, name: fmt.Sprintf("%s%d", name, i), random: rand.New(rand.NewPCG(1, uint64(i))), bodyOf: ownBody,
			partsOf: partsOf, kinds: []soakKind{streamKind}, repeats: 1,
		})
	}
	return cs
}

// crashTime returns when a content had crashed the given number of endpoints, as a Unix time in milliseconds.
func crashTime(all []arrival, content string, count int) (int64, bool) {
	crashed := 0
	for _, a := range all {
		if a.Content != content {
			continue
		}
		crashed += len(a.Crashed)
		if crashed >= count {
			return a.AtMillis, true
		}
	}
	return 0, false
}

// checkPartArrivals checks how often each part arrived later than crashGrace after it had crashed partCrashes endpoints, and
// after the given time. It returns when the last part had crashed so many, or the last arrival if none had.
func checkPartArrivals(t *testing.T, all []arrival, from time.Time) time.Time {
	t.Helper()
	times, late := make(map[string][]string), make(map[string]int)
	crashed := make(map[string]int)
	var last time.Time
	for _, a := range all {
		crashed[a.Content] += len(a.Crashed)
		times[a.Content] = append(times[a.Content], fmt.Sprintf("%.2f", float64(a.AtMillis-all[0].AtMillis)/1000))
		at, known := crashTime(all, a.Content, partCrashes)
		if !known {
			at = a.AtMillis
		}
		if time.UnixMilli(at).After(last) {
			last = time.UnixMilli(at)
		}
		if known && a.AtMillis > max(at, from.UnixMilli())+crashGrace.Milliseconds() {
			late[a.Content]++
		}
	}
	for content, count := range crashed {
		t.Logf("%s: crashed %d endpoints, arrived %d times later than %s after crash %d, in all after seconds %v",
			content, count, late[content], crashGrace, partCrashes, times[content])
		if late[content] > maxLateArrivals {
			t.Errorf("%s arrived %d times later than %s after it had crashed %d endpoints; at most %d are allowed",
				content, late[content], crashGrace, partCrashes, maxLateArrivals)
		}
	}
	return last
}

// servedShare returns the part of the sound requests sent between two times that were served, and their number. Repeats do
// not count.
func servedShare(results []soakResult, from, to time.Time) (float64, int) {
	sent, served := 0, 0
	for i := range results {
		r := &results[i]
		if r.sentAt.Before(from) || r.sentAt.After(to) || strings.Contains(r.id, repeatMark) {
			continue
		}
		sent++
		if r.status == 200 && r.err == nil {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}

// checkNoneConvicted checks that no daemon took a sound request for one that crashes endpoints.
func checkNoneConvicted(t *testing.T, w *soakPlatform) {
	t.Helper()
	for _, d := range w.daemons {
		for line := range strings.Lines(d.output.String()) {
			if strings.Contains(line, "event=2012 ") && !strings.Contains(line, " request=crash") {
				t.Errorf("%s refused a request that crashes nothing: %s", d.name, line)
			}
		}
	}
}

// TestCrashingPromptPartIsStoppedAtAllDaemons sends requests that share only a part that crashes endpoints, beside sound
// requests that share the caller, the path and the first part.
func TestCrashingPromptPartIsStoppedAtAllDaemons(t *testing.T) {
	cases := []struct {
		name  string
		parts []string
		// settings are further settings of the engines.
		settings map[string]any
		// during is called while the requests are sent, if it is not nil.
		during func(w *soakPlatform)
	}{
		{"one part", []string{"dead1"}, nil, nil},
		{"two parts", []string{"dead1", "dead2"}, nil, nil},
		{"new endpoint IDs", []string{"dead1"}, map[string]any{"restartMillis": 2500, "newId": true}, nil},
		{"silent addresses", []string{"dead1"}, map[string]any{"restartMillis": 2500, "newId": true, "silentAfterCrash": true}, nil},
		{"a daemon restarts", []string{"dead1"}, nil, func(w *soakPlatform) {
			time.Sleep(3 * time.Second)
			w.daemons[0].restart(syscall.SIGKILL)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			layout := twoDomains(2, 12, 2)
			layout.engineSettings = c.settings
			w := newSoakPlatform(t, layout)
			time.Sleep(3 * time.Second) // Until the engines have loaded their layers.
			sound := startCallersWithParts(w, "c", 12, soundParts)
			calmFrom := time.Now()
			time.Sleep(3 * time.Second)
			crashFrom := time.Now()
			var crashing []*callers
			for _, part := range c.parts {
				crashing = append(crashing, startCallersWithParts(w, "crash"+part, 4, poisonedParts(part)))
			}
			if c.during != nil {
				c.during(w)
			}
			time.Sleep(time.Until(crashFrom.Add(partTestTime)))
			var results []soakResult
			for _, one := range crashing {
				results = append(results, one.stop()...)
			}
			stopped := time.Now()
			time.Sleep(quietTime)
			soundResults := sound.stop()
			checkResults(t, w, append(results, soundResults...), stopped)
			known := checkPartArrivals(t, w.arrivals(t), time.Time{})
			checkNoneConvicted(t, w)
			before, _ := servedShare(soundResults, calmFrom, crashFrom)
			after, sent := servedShare(soundResults, known.Add(soundGrace), stopped)
			t.Logf("sound requests served: %.2f before, %.2f of %d from %s after crash %d", before, after, sent, soundGrace, partCrashes)
			if after < minSoundShare*before {
				t.Errorf("sound requests were served too rarely")
			}
			if t.Failed() {
				t.Logf("logs: %s", w.keepLogs(t))
			}
		})
	}
}
