package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/client"
	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// words are the words of which prompts consist.
var words = strings.Fields("banquet hall date menu family guest torque brake valve manual page garage order lift hold reply")

// arrival is a request and the time between the previous arrival and this one.
type arrival struct {
	after   time.Duration
	request *client.Request
}

// generator generates the arrivals of one Traffic of the plan.
type generator struct {
	traffic  plan.Traffic
	streamed bool
	random   *rand.Rand
	prefix   string
	sent     int
}

func newGenerator(seed uint64, index int, traffic plan.Traffic, kind chicoryhall.ServiceKind) *generator {
	return &generator{
		traffic:  traffic,
		streamed: kind == chicoryhall.ServicePipeline,
		random:   rand.New(rand.NewPCG(seed, uint64(index))),
		prefix:   fmt.Sprintf("bench-%d-%d-%d", seed, index, time.Now().UnixNano()),
	}
}

// next returns the next arrival. The times between arrivals are exponentially distributed.
func (g *generator) next() arrival {
	g.sent++
	key := fmt.Sprintf("%s-%d", g.prefix, g.sent)
	seconds := g.random.ExpFloat64() / g.traffic.Rate
	return arrival{
		after: time.Duration(seconds * float64(time.Second)),
		request: &client.Request{
			Service:    g.traffic.Service,
			Token:      g.traffic.Token,
			Key:        key,
			Timeout:    g.traffic.Timeout,
			Streamed:   g.streamed,
			Submission: g.submission(key),
		},
	}
}

// submission returns a random submission. The body of a call to a plain service starts with its key, so that it is unique.
func (g *generator) submission(key string) caller.Submission {
	if !g.streamed {
		return caller.Submission{
			Class:     g.traffic.Class,
			Operation: g.traffic.Operation,
			Body:      key + " " + g.text(g.traffic.PromptBytes),
		}
	}
	return caller.Submission{
		Class:     g.traffic.Class,
		Prompt:    g.text(g.traffic.PromptBytes),
		MaxTokens: g.randomSize(g.traffic.MaxTokens),
	}
}

// randomSize returns a random size between half of maxSize and maxSize.
func (g *generator) randomSize(maxSize int) int {
	if maxSize <= 1 {
		return 1
	}
	return maxSize/2 + g.random.IntN(maxSize-maxSize/2) + 1
}

func (g *generator) text(maxSize int) string {
	size := g.randomSize(max(maxSize, 2*8))
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[g.random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:size]
}
