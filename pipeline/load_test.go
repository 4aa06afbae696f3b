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

// The shape of the load that policies are compared under.
const (
	loadDaemons      = 8
	loadReportPeriod = 250 * time.Millisecond
	loadReportLag    = 500 * time.Millisecond
	loadWarmUp       = 3 * time.Second
	loadDuration     = 8 * time.Second
	loadAnswer       = 60
)

// loadEvent is one future call.
type loadEvent struct {
	at   time.Duration
	call func()
}

type loadQueue []loadEvent

func (q loadQueue) Len() int           { return len(q) }
func (q loadQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q loadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *loadQueue) Push(x any)        { *q = append(*q, x.(loadEvent)) }
func (q *loadQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// loadStream is one request's way through its route.
type loadStream struct {
	daemon  int
	route   chicoryhall.Route
	hop     int
	left    int
	entered time.Duration
	done    func()
}

// loadEngine batches the tokens that wait for it.
type loadEngine struct {
	domain  chicoryhall.FailureDomain
	kind    chicoryhall.DocumentAccelerator
	waiting []*loadStream
	busy    bool
	streams int
	// slowdown multiplies the engine's step time; stepMicros is its last step.
	slowdown   int
	stepMicros int64
}

// loadRun drives daemons' routers against fake engines that batch continuously.
type loadRun struct {
	now      time.Duration
	queue    loadQueue
	document *chicoryhall.Document
	engines  map[chicoryhall.EndpointID]*loadEngine
	daemons  []*fakeEndpoints
	routers  []chicoryhall.Router
	random   *rand.Rand
	tokens   int
	gaps     []time.Duration
}

func newLoadRun(document *chicoryhall.Document, policy pipeline.Policy, seed uint64) *loadRun {
	r := &loadRun{
		document: document,
		engines:  make(map[chicoryhall.EndpointID]*loadEngine),
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
	for _, endpoint := range document.Endpoints {
		r.engines[endpoint.ID] = &loadEngine{domain: endpoint.FailureDomain, kind: kindOf(endpoint.Accelerator), slowdown: 1}
	}
	for i := range loadDaemons {
		endpoints := newFakeEndpoints()
		r.daemons = append(r.daemons, endpoints)
		r.routers = append(r.routers, pipeline.New(endpoints, pipeline.Options{Policy: policy, Seed: seed + uint64(i)}))
	}
	r.after(loadReportPeriod, r.report)
	return r
}

func (r *loadRun) after(delay time.Duration, call func()) {
	heap.Push(&r.queue, loadEvent{at: r.now + delay, call: call})
}

func (r *loadRun) runUntil(end time.Duration) {
	for len(r.queue) > 0 && r.queue[0].at <= end {
		next := heap.Pop(&r.queue).(loadEvent)
		r.now = next.at
		next.call()
	}
	r.now = end
}

// report copies every engine's load and hands it to the daemons after the lag.
func (r *loadRun) report() {
	loads := make(map[chicoryhall.EndpointID]chicoryhall.LoadReport)
	for _, endpoint := range r.document.Endpoints {
		loads[endpoint.ID] = chicoryhall.LoadReport{
			Endpoint: endpoint.ID, Running: r.engines[endpoint.ID].streams, StepMicros: r.engines[endpoint.ID].stepMicros,
			LoadedLayers: []chicoryhall.LayerRange{{Model: "m", Version: "1", From: endpoint.From, To: endpoint.To}},
		}
	}
	r.after(loadReportLag, func() {
		for _, daemon := range r.daemons {
			for id, load := range loads {
				view := daemon.views[id]
				view.Load = load
				daemon.views[id] = view
			}
		}
	})
	r.after(loadReportPeriod, r.report)
}

// begin starts one request at a daemon.
func (r *loadRun) begin(daemon int) {
	route, err := r.routers[daemon].Choose(chicoryhall.RouteQuery{
		Document: r.document, FailureDomain: domainName(daemon % 3), RemainingTokens: loadAnswer, Now: start.Add(r.now),
	})
	if err != nil {
		panic(err)
	}
	for _, hop := range route.Hops {
		r.engines[hop.Engine].streams++
		r.daemons[daemon].Begin(hop.Engine)
	}
	s := &loadStream{daemon: daemon, route: route, left: 1 + r.random.IntN(2*loadAnswer-1), entered: r.now}
	s.done = func() {
		for _, hop := range route.Hops {
			r.engines[hop.Engine].streams--
			r.daemons[daemon].End(hop.Engine)
		}
	}
	r.enqueue(s)
}

// enqueue puts a stream's token in front of its next engine.
func (r *loadRun) enqueue(s *loadStream) {
	e := r.engines[s.route.Hops[s.hop].Engine]
	e.waiting = append(e.waiting, s)
	r.step(e)
}

// step runs one batch if the engine is idle.
func (r *loadRun) step(e *loadEngine) {
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
			r.pass(s, e.domain)
		}
		r.step(e)
	})
}

// pass hands a stream's token to the next engine, or ends the token.
func (r *loadRun) pass(s *loadStream, from chicoryhall.FailureDomain) {
	s.hop++
	if s.hop == len(s.route.Hops) {
		s.hop = 0
		s.left--
		if r.now > loadWarmUp {
			r.tokens++
			r.gaps = append(r.gaps, r.now-s.entered)
		}
		s.entered = r.now
		if s.left == 0 {
			s.done()
			return
		}
	}
	delay := 100 * time.Microsecond
	if r.engines[s.route.Hops[s.hop].Engine].domain != from {
		delay = 500 * time.Microsecond
	}
	r.after(delay, func() { r.enqueue(s) })
}

// perSecond is the rate of tokens after the warm-up.
func (r *loadRun) perSecond() float64 {
	return float64(r.tokens) / (loadDuration - loadWarmUp).Seconds()
}

func (r *loadRun) gap(quantile float64) time.Duration {
	slices.Sort(r.gaps)
	return r.gaps[int(quantile*float64(len(r.gaps)-1))]
}

// openLoop starts requests at a share of the bound.
func (r *loadRun) openLoop(bound, share float64) {
	rate := bound * share / loadAnswer
	var arrive func()
	arrive = func() {
		r.begin(r.random.IntN(loadDaemons))
		r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	r.runUntil(loadDuration)
}

// loadCase is one condition under which policies are compared.
type loadCase struct {
	name string
	// lost and slow are the numbers of engines that are gone, and that run slowedBy times slower.
	lost int
	slow int
	load float64
}

const slowedBy = 5

var loadCases = []loadCase{
	{"load=0.5", 0, 0, 0.5},
	{"load=0.9", 0, 0, 0.9},
	{"load=1.0", 0, 0, 1.0},
	{"load=1.0,lost=3of30", 3, 0, 1.0},
	{"load=0.7,slow=3of30", 0, 3, 0.7},
}

// BenchmarkPolicy reports for each policy the throughput over the bound and the time of a token
// through its whole route.
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
	r := newLoadRun(document, policy, 7)
	for i := range c.lost {
		for _, daemon := range r.daemons {
			daemon.setState(document.Endpoints[i*7].ID, chicoryhall.EndpointDead)
		}
	}
	for i := range c.slow {
		r.engines[document.Endpoints[i*7].ID].slowdown = slowedBy
	}
	bound, err := pipeline.Bound(document, r.daemons[0].View, pipeline.Mix{})
	if err != nil {
		b.Fatal(err)
	}
	r.openLoop(bound, c.load)
	b.ReportMetric(r.perSecond()/bound, "of-bound")
	b.ReportMetric(float64(r.gap(0.50).Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(r.gap(0.95).Microseconds())/1000, "p95-ms")
	b.ReportMetric(0, "ns/op")
}
