package proof

import (
	"testing"
	"time"
)

// smallService has one plain endpoint in each of three failure domains, which has a new ID after each restart.
func smallService(restart time.Duration, silent bool) soakLayout {
	return soakLayout{
		domains: []string{"x", "y", "z"}, daemons: 2, plain: 1,
		plainSettings: map[string]any{"restartMillis": restart.Milliseconds(), "newId": true, "silentAfterCrash": silent, "workMillis": 40},
	}
}

// TestCrashingRequestIsStoppedInSmallService repeats requests that can end all endpoints of a service at once, beside many
// others, which are lost in the same crashes and sent again by their callers.
func TestCrashingRequestIsStoppedInSmallService(t *testing.T) {
	cases := []struct {
		name     string
		requests []crashingRequest
		copies   int
		silent   bool
	}{
		{"safe", []crashingRequest{{safeKind, "crash-first a"}}, 1, false},
		{"safe, two copies", []crashingRequest{{safeKind, "crash-first a"}}, 2, false},
		{"unsafe", []crashingRequest{{unsafeKind, "crash-first a"}}, 1, false},
		{"safe and unsafe", []crashingRequest{{safeKind, "crash-first a"}, {unsafeKind, "crash-first b"}}, 1, false},
		{"safe, silent addresses", []crashingRequest{{safeKind, "crash-first a"}}, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newSoakPlatform(t, smallService(3*time.Second, c.silent))
			innocent := startRepeating(w, 12, 1)
			time.Sleep(time.Second)
			checkCrashing(t, w, innocent, startCrashing(w, c.requests, c.copies), 2*crashTestTime)
		})
	}
}
