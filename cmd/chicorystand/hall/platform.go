package hall

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// lapseTime is how long the entry of a crashed endpoint stays listed.
	lapseTime = 1500 * time.Millisecond
	// stallPollPeriod is the time between two checks whether a failed stage works again.
	stallPollPeriod = 20 * time.Millisecond
	// restoreTime is how long the store is away before it is restored from a copy, and rewriteTime the time from then until
	// the operator and the endpoints write again.
	restoreTime = 200 * time.Millisecond
	rewriteTime = time.Second
	// listPause is the pause after each endpoint that lists itself at the start.
	listPause = 20 * time.Millisecond
)

// Platform is a simulated platform with all of its endpoints, in one process.
type Platform struct {
	settings Settings
	store    *Store
	ledger   records[LedgerEntry]
	arrivals arrivals
	requests records[RequestArrival]
	// statements are those of all endpoints.
	statements records[Statement]
	endpoints  []*Endpoint
	cuts       *cuts
	// configuration is the one that the operator wrote last.
	configuration atomic.Pointer[json.RawMessage]
	group         *errgroup.Group
	ctx           context.Context
}

// New returns a Platform that listens while Serve runs.
func New(settings Settings) *Platform {
	p := &Platform{settings: settings, store: NewStore(settings.StoreRates), cuts: newCuts()}
	for _, one := range settings.Endpoints {
		p.endpoints = append(p.endpoints, &Endpoint{
			platform: p, settings: one, born: time.Now().UnixMilli(), unwantedUntil: make(map[string]time.Time),
		})
	}
	return p
}

// Serve runs the platform until ctx is done or an internal error occurs.
func (p *Platform) Serve(ctx context.Context) error {
	p.group, p.ctx = errgroup.WithContext(ctx)
	if err := p.listen(p.settings.Store, p.store); err != nil {
		return err
	}
	if err := p.listen(p.settings.Control, p.controlHandler()); err != nil {
		return err
	}
	for _, endpoint := range p.endpoints {
		if err := p.listen(endpoint.settings.Address, endpoint); err != nil {
			return err
		}
	}
	first := json.RawMessage(p.settings.Configuration)
	p.configuration.Store(&first)
	if err := p.store.Put("op", "config", first); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	p.group.Go(p.registerAll)
	return p.group.Wait()
}

// registerAll makes the endpoints register one after another.
func (p *Platform) registerAll() error {
	for _, endpoint := range p.endpoints {
		if err := endpoint.register(); err != nil {
			return err
		}
		time.Sleep(listPause)
	}
	return nil
}

// Restore makes the store unavailable for restoreTime, after which it has the rows of its last copy. The operator and the
// endpoints write theirs again rewriteTime later.
func (p *Platform) Restore() {
	p.store.SetFaults(StoreFaults{Refuse: true})
	p.after(restoreTime, func() {
		p.store.Restore()
		p.store.SetFaults(StoreFaults{})
		p.after(rewriteTime, func() {
			p.stopOnError(p.store.Put("op", "config", *p.configuration.Load()))
			p.store.Keep("servers", p.ids())
			for _, endpoint := range p.endpoints {
				if !endpoint.isUnresponsive() {
					p.stopOnError(endpoint.register())
				}
			}
		})
	})
}

// ids returns the present IDs of all endpoints.
func (p *Platform) ids() map[string]bool {
	ids := make(map[string]bool)
	for _, endpoint := range p.endpoints {
		ids[endpoint.id()] = true
	}
	return ids
}

// listen serves an address with the handler until ctx is done.
func (p *Platform) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	if endpoint, ok := handler.(*Endpoint); ok {
		listener = &closedListener{Listener: listener, endpoint: endpoint}
		if endpoint.settings.AnswerFaults != nil {
			p.group.Go(func() error {
				<-p.ctx.Done()
				return listener.Close()
			})
			p.group.Go(func() error { return p.serveFaulty(listener, endpoint) })
			return nil
		}
	}
	server := &http.Server{Handler: handler, ErrorLog: discardLogger()}
	p.group.Go(func() error {
		<-p.ctx.Done()
		return server.Close()
	})
	p.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// after calls a function after a delay, unless the platform stops before.
func (p *Platform) after(delay time.Duration, call func()) {
	p.group.Go(func() error {
		select {
		case <-p.ctx.Done():
		case <-time.After(delay):
			call()
		}
		return nil
	})
}

// stopOnError stops the platform with err if it is not nil.
func (p *Platform) stopOnError(err error) {
	if err != nil {
		p.group.Go(func() error { return err })
	}
}

func (p *Platform) byAddress(address string) *Endpoint {
	for _, endpoint := range p.endpoints {
		if endpoint.settings.Address == address {
			return endpoint
		}
	}
	return nil
}

func (p *Platform) byID(id string) *Endpoint {
	for _, endpoint := range p.endpoints {
		if endpoint.settings.ID == id {
			return endpoint
		}
	}
	return nil
}

// anyFailed reports whether an engine is dead or silent, or no longer holds its layers.
func (p *Platform) anyFailed(hops []hop) bool {
	for _, h := range hops {
		if !h.engine.holds(h.from, h.to) || h.engine.isUnresponsive() {
			return true
		}
	}
	return false
}

// reserve reserves the memory for a request at every stage. If an engine has not enough, it reserves none and returns
// that engine.
func (p *Platform) reserve(hops []hop, tokens int) *Endpoint {
	for i, h := range hops {
		if !h.engine.addUsedMemory(p.requestBytes(h, tokens)) {
			p.release(hops[:i], tokens)
			return h.engine
		}
	}
	return nil
}

// release frees the memory reserved for a request.
func (p *Platform) release(hops []hop, tokens int) {
	for _, h := range hops {
		h.engine.addUsedMemory(-p.requestBytes(h, tokens))
	}
}

// requestBytes returns the memory that a request with the given number of tokens needs at a stage.
func (p *Platform) requestBytes(h hop, tokens int) float64 {
	model := p.settings.Model
	return float64(tokens) * model.TokenBytes * float64(h.to-h.from) / float64(model.Layers)
}

// addUsedMemory adds a number of bytes to the memory used by requests. A negative number frees memory. If the number is
// more than the free memory, it changes nothing and returns false.
func (e *Endpoint) addUsedMemory(bytes float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	free := e.settings.MemoryBytes - float64(e.to-e.from)*e.platform.settings.Model.LayerBytes - e.used
	if bytes > free {
		return false
	}
	e.used = max(0, e.used+bytes) // Crash resets used before the memory of aborted requests is freed.
	return true
}
