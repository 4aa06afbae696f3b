package modelengine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/modelengine"
	"chicoryhall.example/chicoryhall/engine"
)

// BenchmarkChain measures the tokens per second of a chain of three engines. The bound to which they are compared is one
// token per stream of a full batch in each step of one stage, as the stages work in parallel.
func BenchmarkChain(b *testing.B) {
	const (
		streams   = 96
		batch     = 16
		stepTime  = time.Millisecond
		layerTime = 8 * time.Microsecond
		perStage  = layers / 3
	)
	var route []chicoryhall.Hop
	for stage := range 3 {
		id := fmt.Sprintf("e%d", stage)
		e := start(b, id, stage*perStage, (stage+1)*perStage, func(s *modelengine.Settings) {
			s.StepTime, s.LayerTime, s.Batch = stepTime, layerTime, batch
		})
		route = append(route, hop(e, id, stage*perStage, (stage+1)*perStage))
	}
	step := stepTime + batch*perStage*layerTime
	bound := batch / step.Seconds()
	const tokens = 200
	b.ResetTimer()
	begin := time.Now()
	for round := range b.N {
		var group sync.WaitGroup
		for i := range streams {
			group.Add(1)
			go func() {
				defer group.Done()
				drain(b, request(fmt.Sprintf("%d-%d", round, i), 1, tokens, prompt, route...))
			}()
		}
		group.Wait()
	}
	rate := float64(b.N*streams*tokens) / time.Since(begin).Seconds()
	b.ReportMetric(rate, "tokens/s")
	b.ReportMetric(rate/bound, "of-bound")
}

// drain runs a stream and reads its complete answer.
func drain(b *testing.B, s *engine.StreamRequest) {
	body, _ := json.Marshal(s)
	response, err := http.Post("http://"+s.Route[0].Address+"/v1/streams", "application/json", bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	last := ""
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		last = lines.Text()
	}
	if !bytes.Contains([]byte(last), []byte(`"done"`)) {
		b.Errorf("stream %s ended with %s", s.Stream, last)
	}
}
