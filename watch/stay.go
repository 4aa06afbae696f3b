package watch

import (
	"math"
	"time"
)

const (
	// stayMemory is the time in which what was seen of a service's work loses most of its weight.
	stayMemory = 10 * time.Second
	// usualStay stands for the time that a request stays at an endpoint until enough have ended.
	usualStay = 2 * time.Second
	// enoughEnded is the weight of ended requests from which their mean time counts.
	enoughEnded = 5
)

// stay learns how long a service's requests stay at its endpoints: by Little's law the requests in
// flight over the rate at which they end.
type stay struct {
	at       time.Time
	inFlight float64
	// worked is the time of all requests in flight added up, ended how many ended; both fade.
	worked float64
	ended  float64
}

// advance brings the sums to now.
func (s *stay) advance(now time.Time) {
	if passed := now.Sub(s.at); !s.at.IsZero() && passed > 0 {
		fade := math.Exp(-float64(passed) / float64(stayMemory))
		s.worked = s.worked*fade + s.inFlight*passed.Seconds()
		s.ended *= fade
	}
	s.at = now
}

func (s *stay) begin(now time.Time) {
	s.advance(now)
	s.inFlight++
}

func (s *stay) end(now time.Time) {
	s.advance(now)
	s.inFlight = math.Max(0, s.inFlight-1)
	s.ended++
}

// mean returns the mean time of a request at an endpoint.
func (s *stay) mean() time.Duration {
	if s.ended < enoughEnded {
		return usualStay
	}
	return time.Duration(s.worked / s.ended * float64(time.Second))
}
