package pipeline_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

// The simulated load under which policies are compared.
const (
	simDaemons       = 8
	simReportPeriod  = 250 * time.Millisecond
	simReportDelay   = 500 * time.Millisecond
	simWarmUp        = 3 * time.Second
	simDuration      = 8 * time.Second
	meanAnswerTokens = 60
)

// simEvent is a call at a time in the simulation.
type simEvent struct {
	at   time.Duration
	call func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// simStream is one request on its route.
type simStream struct {
	daemon  int
	route   chicoryhall.Route
	hop     int
	left    int
	entered time.Duration
	done    func()
}

// simEndpoint is an endpoint that batches the tokens that wait for it.
type simEndpoint struct {
	domain  chicoryhall.FailureDomain
	kind    chicoryhall.DocumentAccelerator
	waiting []*simStream
	busy    bool
	streams int
	// slowdown multiplies the endpoint's step time. stepMicros is the duration of its last step.
	slowdown   int
	stepMicros int64
}

// simulation runs the routers of several daemons against endpoints with continuous batching.
type simulation struct {
	now        time.Duration
	queue      simQueue
	document   *chicoryhall.Document
	endpoints  map[chicoryhall.EndpointID]*simEndpoint
	daemons    []*fakeEndpoints
	routers    []chicoryhall.Router
	random     *rand.Rand
	tokens     int
	tokenTimes []time.Duration
}

func newSimulation(document *chicoryhall.Document, policy pipeline.Policy, seed uint64) *simulation {
	r := &simulation{
		document:  document,
		endpoints: make(map[chicoryhall.EndpointID]*simEndpoint),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
	for _, endpoint := range document.Endpoints {
		r.endpoints[endpoint.ID] = &simEndpoint{domain: endpoint.FailureDomain, kind: kindOf(endpoint.Accelerator), slowdown: 1}
	}
	for i := range simDaemons {
		endpoints := newFakeEndpoints()
		r.daemons = append(r.daemons, endpoints)
		r.routers = append(r.routers, pipeline.New(endpoints, pipeline.Options{Policy: policy, Seed: seed + uint64(i)}))
	}
	r.after(simReportPeriod, r.report)
	return r
}

func (r *simulation) after(delay time.Duration, call func()) {
	heap.Push(&r.queue, simEvent{at: r.now + delay, call: call})
}

func (r *simulation) runUntil(end time.Duration) {
	for len(r.queue) > 0 && r.queue[0].at <= end {
		next := heap.Pop(&r.queue).(simEvent)
		r.now = next.at
		next.call()
	}
	r.now = end
}

// report copies the load of every endpoint and gives it to the daemons after simReportDelay.
func (r *simulation) report() {
	loads := make(map[chicoryhall.EndpointID]chicoryhall.LoadReport)
	for _, endpoint := range r.document.Endpoints {
		loads[endpoint.ID] = chicoryhall.LoadReport{
			Endpoint: endpoint.ID, Running: r.endpoints[endpoint.ID].streams, StepMicros: r.endpoints[endpoint.ID].stepMicros,
			LoadedLayers: []chicoryhall.LayerRange{{Model: "m", Version: "1", From: endpoint.From, To: endpoint.To}},
		}
	}
	r.after(simReportDelay, func() {
		for _, daemon := range r.daemons {
			for id, load := range loads {
				view := daemon.views[id]
				view.Load = load
				daemon.views[id] = view
			}
		}
	})
	r.after(simReportPeriod, r.report)
}

// begin starts one request at a daemon.
func (r *simulation) begin(daemon int) {
	route, err := r.routers[daemon].Choose(chicoryhall.RouteQuery{
		Document: r.document, FailureDomain: domainName(daemon % 3), RemainingTokens: meanAnswerTokens, Now: startTime.Add(r.now),
	})
	if err != nil {
		panic(err)
	}
	for _, hop := range route.Hops {
		r.endpoints[hop.Engine].streams++
		r.daemons[daemon].Begin(hop.Engine)
	}
	s := &simStream{daemon: daemon, route: route, left: 1 + r.random.IntN(2*meanAnswerTokens-1), entered: r.now}
	s.done = func() {
		for _, hop := range route.Hops {
			r.endpoints[hop.Engine].streams--
			r.daemons[daemon].End(hop.Engine)
		}
	}
	r.enqueue(s)
}

// enqueue adds a stream's next token to the queue of its endpoint.
func (r *simulation) enqueue(s *simStream) {
	e := r.endpoints[s.route.Hops[s.hop].Engine]
	e.waiting = append(e.waiting, s)
	r.step(e)
}

// step runs one batch if the endpoint is idle.
func (r *simulation) step(e *simEndpoint) {
	if e.busy || len(e.waiting) == 0 {
		return
	}
	size := min(len(e.waiting), e.kind.MaxBatch)
	batch := slices.Clone(e.waiting[:size])
	e.waiting = slices.Delete(e.waiting, 0, size)
	e.busy = true
	layers := batch[0].route.Hops[batch[0].hop].To - batch[0].route.Hops[batch[0].hop].From
	step := (e.kind.StepTime + time.Duration(layers*size)*e.kind.LayerTokenTime) * time.Duration(e.slowdown)
	e.stepMicros = step.Microseconds()
	r.after(step, func() {
		e.busy = false
		for _, s := range batch {
			r.advance(s, e.domain)
		}
		r.step(e)
	})
}

// advance passes a stream's token to the next endpoint, or completes the token.
func (r *simulation) advance(s *simStream, from chicoryhall.FailureDomain) {
	s.hop++
	if s.hop == len(s.route.Hops) {
		s.hop = 0
		s.left--
		if r.now > simWarmUp {
			r.tokens++
			r.tokenTimes = append(r.tokenTimes, r.now-s.entered)
		}
		s.entered = r.now
		if s.left == 0 {
			s.done()
			return
		}
	}
	delay := 100 * time.Microsecond
	if r.endpoints[s.route.Hops[s.hop].Engine].domain != from {
		delay = 500 * time.Microsecond
	}
	r.after(delay, func() { r.enqueue(s) })
}

// tokensPerSecond returns the rate of tokens after the warm-up.
func (r *simulation) tokensPerSecond() float64 {
	return float64(r.tokens) / (simDuration - simWarmUp).Seconds()
}

func (r *simulation) tokenTime(quantile float64) time.Duration {
	slices.Sort(r.tokenTimes)
	return r.tokenTimes[int(quantile*float64(len(r.tokenTimes)-1))]
}

// openLoop starts requests at a fraction of the maximum throughput, regardless of how many are
// running.
func (r *simulation) openLoop(maxThroughput, share float64) {
	rate := maxThroughput * share / meanAnswerTokens
	var arrive func()
	arrive = func() {
		r.begin(r.random.IntN(simDaemons))
		r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	r.runUntil(simDuration)
}

// loadCase is one condition under which policies are compared.
type loadCase struct {
	name string
	// dead is the number of dead endpoints ("lost" in the name), slow that of endpoints that are
	// slowed down by slowdownFactor. Both are chosen as every seventh endpoint of the document.
	dead int
	slow int
	// load is the offered load as a fraction of the maximum throughput.
	load float64
}

const slowdownFactor = 5

var loadCases = []loadCase{
	{"load=0.5", 0, 0, 0.5},
	{"load=0.9", 0, 0, 0.9},
	{"load=1.0", 0, 0, 1.0},
	{"load=1.0,lost=3of30", 3, 0, 1.0},
	{"load=0.7,slow=3of30", 0, 3, 0.7},
}

// BenchmarkPolicy reports for each policy the throughput relative to the maximum, and the time of a
// token over its whole route.
func BenchmarkPolicy(b *testing.B) {
	for _, c := range loadCases {
		for _, policy := range pipeline.PolicyValues() {
			b.Run(fmt.Sprintf("%s/%s", c.name, policy), func(b *testing.B) {
				for b.Loop() {
					benchmarkPolicy(b, policy, c)
				}
			})
		}
	}
}

func benchmarkPolicy(b *testing.B, policy pipeline.Policy, c loadCase) {
	document := documentOf(30, 3)
	r := newSimulation(document, policy, 7)
	for i := range c.dead {
		for _, daemon := range r.daemons {
			daemon.setState(document.Endpoints[i*7].ID, chicoryhall.EndpointDead)
		}
	}
	for i := range c.slow {
		r.endpoints[document.Endpoints[i*7].ID].slowdown = slowdownFactor
	}
	maxThroughput, err := pipeline.MaxThroughput(document, r.daemons[0].View, pipeline.Mix{})
	if err != nil {
		b.Fatal(err)
	}
	r.openLoop(maxThroughput, c.load)
	b.ReportMetric(r.tokensPerSecond()/maxThroughput, "of-bound")
	b.ReportMetric(float64(r.tokenTime(0.50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(r.tokenTime(0.95).Microseconds())/1000, "p95-ms")
	b.ReportMetric(0, "ns/op")
}
