package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/router"
)

// words fill the prompts.
var words = strings.Fields("banquet hall date menu family guest torque brake valve manual page garage order lift hold reply")

// arrival is one request and when it is sent after the one before.
type arrival struct {
	after   time.Duration
	request *router.Request
}

// source draws the arrivals of one line of traffic.
type source struct {
	traffic  plan.Traffic
	streamed bool
	random   *rand.Rand
	prefix   string
	sent     int
}

func newSource(seed uint64, index int, traffic plan.Traffic, kind chicoryhall.ServiceKind) *source {
	return &source{
		traffic:  traffic,
		streamed: kind == chicoryhall.ServicePipeline,
		random:   rand.New(rand.NewPCG(seed, uint64(index))),
		prefix:   fmt.Sprintf("bench-%d-%d-%d", seed, index, time.Now().UnixNano()),
	}
}

func (s *source) draw() arrival {
	s.sent++
	key := fmt.Sprintf("%s-%d", s.prefix, s.sent)
	seconds := s.random.ExpFloat64() / s.traffic.Rate
	return arrival{
		after: time.Duration(seconds * float64(time.Second)),
		request: &router.Request{
			Service:    s.traffic.Service,
			Token:      s.traffic.Token,
			Key:        key,
			Timeout:    s.traffic.Timeout,
			Streamed:   s.streamed,
			Submission: s.submission(key),
		},
	}
}

// submission draws a body; that of a plain call begins with its key and so is unique.
func (s *source) submission(key string) caller.Submission {
	if !s.streamed {
		return caller.Submission{
			Class:     s.traffic.Class,
			Operation: s.traffic.Operation,
			Body:      key + " " + s.text(s.traffic.PromptBytes),
		}
	}
	return caller.Submission{
		Class:     s.traffic.Class,
		Prompt:    s.text(s.traffic.PromptBytes),
		MaxTokens: s.between(s.traffic.MaxTokens),
	}
}

// between draws a size from half of most to most.
func (s *source) between(most int) int {
	if most <= 1 {
		return 1
	}
	return most/2 + s.random.IntN(most-most/2) + 1
}

func (s *source) text(most int) string {
	size := s.between(max(most, 2*8))
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[s.random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:size]
}
