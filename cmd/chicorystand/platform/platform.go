package platform

import (
	"context"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/gate"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/event"
)

// burstSeconds sets the size of the bursts that a rate limit admits: as many requests as the rate allows in this time,
// in seconds, may come at once.
const burstSeconds = 0.1

// Platform simulates the services of the platform.
type Platform struct {
	settings Settings
	timer    chicoryhall.Timer
	log      *event.Logger
	servers  []*serve.Server
	gate     gate.Gate

	// The fields below are accessed only by functions that gate runs.

	faults   Faults
	rows     *rows
	snapshot *rows             // the copy made by the action snapshot; empty before
	objects  map[string][]byte // by URL-escaped key
	vms      vmHistory
	limits   limits
	ledger   Ledger
}

// limits are the rate limits of the services.
type limits struct {
	tableWrites, tableReads   *rate.Limiter
	objectWrites, objectReads *rate.Limiter
	weights                   *rate.Limiter
}

// Ledger counts the requests to the table and the object store, and the layers that the weight store sent.
type Ledger struct {
	Table   Counts `json:"table"`
	Objects Counts `json:"objects"`
	// WeightLayers counts the layers that were sent.
	WeightLayers int `json:"weightLayers"`
}

// Counts are the counters of one service.
type Counts struct {
	// Writes is the number of writes that took effect. Conflicts is the number of writes whose condition was not met.
	// Reads is the number of reads within the rate, including those that found nothing.
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Reads     int `json:"reads"`
	// Refused is the number of requests above the rate or during an outage of any kind, answered or not. Lost is the
	// number of writes that took effect without an answer.
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
}

// New returns a Platform. Start makes it listen.
func New(settings Settings, timer chicoryhall.Timer, log *event.Logger) *Platform {
	p := &Platform{
		settings: settings,
		timer:    timer,
		log:      log,
		rows:     newRows(),
		snapshot: newRows(),
		objects:  map[string][]byte{},
		vms:      newVMHistory(settings.VMLag),
	}
	p.setRates()
	for _, address := range settings.Listen {
		p.servers = append(p.servers, serve.New(address, func(x *serve.Exchange) { p.gate.Do(func() { p.route(x) }) }))
	}
	return p
}

// setRates sets the rate limits of the table and the object store to the rates in the faults, or to those in the
// settings if the faults have none. The limit of the weight store is always that of the settings. Each limit starts
// anew with a full burst.
func (p *Platform) setRates() {
	writes, reads := p.settings.WritesPerSecond, p.settings.ReadsPerSecond
	if p.faults.WritesPerSecond > 0 {
		writes = p.faults.WritesPerSecond
	}
	if p.faults.ReadsPerSecond > 0 {
		reads = p.faults.ReadsPerSecond
	}
	p.limits = limits{
		tableWrites: limiter(writes), tableReads: limiter(reads),
		objectWrites: limiter(writes), objectReads: limiter(reads),
		weights: rate.NewLimiter(rate.Limit(p.settings.WeightBytesPerSecond), p.settings.LayerBytes),
	}
}

// limiter returns a rate limit with a burst of burstSeconds, but of at least one request.
func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Start starts listening.
func (p *Platform) Start() error {
	for _, server := range p.servers {
		if err := server.Start(); err != nil {
			return err
		}
		p.log.Log(event.StandinServing, "platform", server.Address())
	}
	return nil
}

// Serve waits until ctx is done. All work is done in the handlers of requests.
func (p *Platform) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Drain does nothing. Requests that the fault SlowMillis or the weight store's rate still delays are not finished.
func (p *Platform) Drain(context.Context) {}

// Stop closes all connections.
func (p *Platform) Stop() {
	for _, server := range p.servers {
		server.Stop()
	}
}

// Ledger returns a copy of the ledger.
func (p *Platform) Ledger() any {
	var ledger Ledger
	p.gate.DoAlways(func() { ledger = p.ledger })
	return ledger
}

// route dispatches one request. Refused requests to the weight store and the VM list are not counted in the ledger.
func (p *Platform) route(x *serve.Exchange) {
	path := x.URL.Path
	switch {
	case strings.HasPrefix(path, "/v1/transactions"), strings.HasPrefix(path, "/v1/rows"):
		p.withFaults(x, &p.faults.Table, &p.ledger.Table, p.serveTable)
	case strings.HasPrefix(path, pathObjects):
		p.withFaults(x, &p.faults.Objects, &p.ledger.Objects, p.serveObject)
	case strings.HasPrefix(path, pathWeights):
		p.withFaults(x, &p.faults.Weights, &Counts{}, p.serveWeight)
	case strings.HasPrefix(path, pathVMs):
		p.withFaults(x, &p.faults.VMs, &Counts{}, p.serveVMs)
	case path == "/healthz":
		x.ReplyEmpty(http.StatusNoContent)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of the platform", x.Method, path)
	}
}

// withFaults handles a request as the injected outage of a service demands, or else passes it to handle after the
// service's delay.
func (p *Platform) withFaults(x *serve.Exchange, faults *ServiceFaults, counts *Counts, handle func(*serve.Exchange)) {
	switch faults.Outage {
	case OutageRefuse:
		counts.Refused++
		x.Fail(http.StatusServiceUnavailable, "service is down")
	case OutageSilent:
		counts.Refused++
	case OutageDrop:
		counts.Refused++
		x.Drop()
	default:
		p.delay(faults.SlowMillis, func() { handle(x) })
	}
}

// delay makes the gate run f after a delay, or runs it immediately if there is none.
func (p *Platform) delay(delayMillis int64, f func()) {
	if delayMillis <= 0 {
		f()
		return
	}
	p.timer.After(time.Duration(delayMillis)*time.Millisecond, func(time.Time) { p.gate.Do(f) })
}

// replyToWrite answers a write that took effect, unless the fault LoseAnswers suppresses the answer.
func (p *Platform) replyToWrite(x *serve.Exchange, faults *ServiceFaults, counts *Counts, reply func()) {
	if faults.LoseAnswers == 0 {
		reply()
		return
	}
	faults.LoseAnswers--
	counts.Lost++
	if !faults.LoseSilently {
		x.Drop()
	}
}

// allow counts a request to the table or the object store against a rate limit. If the limit is exceeded, it answers
// with 503 and returns false.
func (p *Platform) allow(x *serve.Exchange, limit *rate.Limiter, counts *Counts) bool {
	if limit.AllowN(p.timer.Now(), 1) {
		return true
	}
	counts.Refused++
	x.Fail(http.StatusServiceUnavailable, "over the rate of %v a second", limit.Limit())
	return false
}
