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

// burstSeconds is the part of a second's requests that may come at once.
const burstSeconds = 0.1

// Platform is the stand-in of all services of the platform.
type Platform struct {
	settings Settings
	timer    chicoryhall.Timer
	log      *event.Logger
	servers  []*serve.Server
	gate     gate.Gate

	// The rest is touched only through gate.
	faults   Faults
	rows     *rows
	snapshot *rows
	objects  map[string][]byte
	vms      vms
	limits   limits
	ledger   Ledger
}

// limits are the rates of the services.
type limits struct {
	tableWrites, tableReads   *rate.Limiter
	objectWrites, objectReads *rate.Limiter
	weights                   *rate.Limiter
}

// Ledger counts what the platform truly did.
type Ledger struct {
	Table   Counts `json:"table"`
	Objects Counts `json:"objects"`
	// WeightLayers counts the layers that were sent.
	WeightLayers int `json:"weightLayers"`
}

// Counts are of one service.
type Counts struct {
	// Writes took effect; Conflicts failed a condition; Reads were answered.
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Reads     int `json:"reads"`
	// Refused were over the rate or met an outage; Lost took effect without an answer.
	Refused int `json:"refused"`
	Lost    int `json:"lost"`
}

// New returns a Platform that listens once Start is called.
func New(settings Settings, timer chicoryhall.Timer, log *event.Logger) *Platform {
	p := &Platform{
		settings: settings,
		timer:    timer,
		log:      log,
		rows:     newRows(),
		snapshot: newRows(),
		objects:  map[string][]byte{},
		vms:      newVMs(settings.VMLag),
	}
	p.setRates()
	for _, address := range settings.Listen {
		p.servers = append(p.servers, serve.New(address, func(x *serve.Exchange) { p.gate.Do(func() { p.route(x) }) }))
	}
	return p
}

// setRates takes the rates from the faults or the settings.
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

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Start begins to listen.
func (p *Platform) Start() error {
	for _, server := range p.servers {
		if err := server.Start(); err != nil {
			return err
		}
		p.log.Log(event.StandinServing, "platform", server.Address())
	}
	return nil
}

// Serve waits until ctx ends; all work is done by calls.
func (p *Platform) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Drain has nothing to finish.
func (p *Platform) Drain(context.Context) {}

// Stop closes all connections.
func (p *Platform) Stop() {
	for _, server := range p.servers {
		server.Stop()
	}
}

// Ledger returns what was truly done.
func (p *Platform) Ledger() any {
	var ledger Ledger
	p.gate.Inspect(func() { ledger = p.ledger })
	return ledger
}

// route answers one request.
func (p *Platform) route(x *serve.Exchange) {
	path := x.URL.Path
	switch {
	case strings.HasPrefix(path, "/v1/transactions"), strings.HasPrefix(path, "/v1/rows"):
		p.faulty(x, &p.faults.Table, &p.ledger.Table, p.table)
	case strings.HasPrefix(path, pathObjects):
		p.faulty(x, &p.faults.Objects, &p.ledger.Objects, p.object)
	case strings.HasPrefix(path, pathWeights):
		p.faulty(x, &p.faults.Weights, &Counts{}, p.weight)
	case strings.HasPrefix(path, pathVMs):
		p.faulty(x, &p.faults.VMs, &Counts{}, p.vm)
	case path == "/healthz":
		x.ReplyEmpty(http.StatusNoContent)
	default:
		x.Fail(http.StatusNotFound, "%s %s is no request of the platform", x.Method, path)
	}
}

// faulty lets a request meet the faults of its service before it is handled.
func (p *Platform) faulty(x *serve.Exchange, faults *ServiceFaults, counts *Counts, handle func(*serve.Exchange)) {
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

func (p *Platform) delay(delayMillis int64, call func()) {
	if delayMillis <= 0 {
		call()
		return
	}
	p.timer.After(time.Duration(delayMillis)*time.Millisecond, func(time.Time) { p.gate.Do(call) })
}

// answer replies to a write that took effect, or loses the answer when that fault is set.
func (p *Platform) answer(x *serve.Exchange, faults *ServiceFaults, counts *Counts, reply func()) {
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

// allowed takes one request from a rate or answers 503.
func (p *Platform) allowed(x *serve.Exchange, limit *rate.Limiter, counts *Counts) bool {
	if limit.AllowN(p.timer.Now(), 1) {
		return true
	}
	counts.Refused++
	x.Fail(http.StatusServiceUnavailable, "over the rate of %v a second", limit.Limit())
	return false
}
