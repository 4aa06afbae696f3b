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

// words are the words of which prompts and request bodies consist.
var words = strings.Fields("banquet hall date menu family guest torque brake valve manual page garage order lift hold reply")

// arrival is a request to send, and the time between the previous arrival and this one.
type arrival struct {
	interval time.Duration
	request  *client.Request
}

// arrivalGenerator generates the arrivals of one entry of the plan's traffic.
type arrivalGenerator struct {
	traffic  plan.Traffic
	streamed bool
	random   *rand.Rand
	// keyPrefix starts all idempotency keys.
	keyPrefix string
	// generated counts the arrivals generated so far. It is part of the idempotency key.
	generated int
}

// newArrivalGenerator returns a generator for the entry with the given index in the plan's traffic. The index is part
// of the seed, so that entries get different random numbers.
func newArrivalGenerator(seed uint64, index int, traffic plan.Traffic, kind chicoryhall.ServiceKind) *arrivalGenerator {
	return &arrivalGenerator{
		traffic:   traffic,
		streamed:  kind == chicoryhall.ServicePipeline,
		random:    rand.New(rand.NewPCG(seed, uint64(index))),
		keyPrefix: fmt.Sprintf("bench-%d-%d-%d", seed, index, time.Now().UnixNano()),
	}
}

// next returns the next arrival. Arrivals are a Poisson process: the times between them are exponentially distributed.
func (g *arrivalGenerator) next() arrival {
	g.generated++
	key := fmt.Sprintf("%s-%d", g.keyPrefix, g.generated)
	seconds := g.random.ExpFloat64() / g.traffic.Rate
	return arrival{
		interval: time.Duration(seconds * float64(time.Second)),
		request: &client.Request{
			Service:        g.traffic.Service,
			BearerToken:    g.traffic.Token,
			IdempotencyKey: key,
			Timeout:        g.traffic.Timeout,
			Streamed:       g.streamed,
			Submission:     g.submission(key),
		},
	}
}

// submission returns a random submission. The body of a call to a plain service starts with the idempotency key, as the
// ledgers of plain services count runs by body.
func (g *arrivalGenerator) submission(key string) caller.Submission {
	if !g.streamed {
		return caller.Submission{
			Class:     g.traffic.Class,
			Operation: g.traffic.Operation,
			Body:      key + " " + g.randomText(g.traffic.PromptBytes),
		}
	}
	return caller.Submission{
		Class:     g.traffic.Class,
		Prompt:    g.randomText(g.traffic.PromptBytes),
		MaxTokens: g.randomSize(g.traffic.MaxTokens),
	}
}

// randomSize returns a random size that is greater than half of maxSize and at most maxSize. It returns at least 1.
func (g *arrivalGenerator) randomSize(maxSize int) int {
	if maxSize <= 1 {
		return 1
	}
	return maxSize/2 + g.random.IntN(maxSize-maxSize/2) + 1
}

// randomText returns random words, cut to a random size in bytes. The maximum size is maxSize, but at least the size of
// two tokens.
func (g *arrivalGenerator) randomText(maxSize int) string {
	const bytesPerToken = 8 // as in digest.Tokenize
	size := g.randomSize(max(maxSize, 2*bytesPerToken))
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[g.random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()[:size]
}
