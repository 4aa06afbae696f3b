package hall

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// lapseTime is how long the entry of a silent endpoint stays listed.
	lapseTime = 1500 * time.Millisecond
	// stallLook lies between two looks at a stage that has failed.
	stallLook = 20 * time.Millisecond
	// listPause lies between the first entries of two endpoints.
	listPause = 20 * time.Millisecond
)

// World is the platform with all of its endpoints in one process.
type World struct {
	settings Settings
	store    *Store
	ledger   Ledger
	engines  []*Engine
	group    *errgroup.Group
	ctx      context.Context
}

// New returns a World that listens once Serve runs.
func New(settings Settings) *World {
	w := &World{settings: settings, store: NewStore()}
	for _, one := range settings.Engines {
		w.engines = append(w.engines, &Engine{world: w, settings: one, born: time.Now().UnixMilli()})
	}
	return w
}

// Serve answers until ctx ends.
func (w *World) Serve(ctx context.Context) error {
	w.group, w.ctx = errgroup.WithContext(ctx)
	if err := w.listen(w.settings.Store, w.store); err != nil {
		return err
	}
	if err := w.listen(w.settings.Control, w.control()); err != nil {
		return err
	}
	for _, engine := range w.engines {
		if err := w.listen(engine.settings.Address, engine); err != nil {
			return err
		}
	}
	if err := w.store.Put("op", "config", json.RawMessage(w.settings.Configuration)); err != nil {
		return errors.Wrap(err, "write the configuration")
	}
	w.group.Go(w.listAll)
	return w.group.Wait()
}

// listAll lets the endpoints list themselves one after another.
func (w *World) listAll() error {
	for _, engine := range w.engines {
		if err := engine.list(); err != nil {
			return err
		}
		time.Sleep(listPause)
	}
	return nil
}

// listen serves one address.
func (w *World) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ErrorLog: quiet()}
	w.group.Go(func() error {
		<-w.ctx.Done()
		return server.Close()
	})
	w.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// after calls a function later, unless the world has ended.
func (w *World) after(delay time.Duration, call func()) {
	w.group.Go(func() error {
		select {
		case <-w.ctx.Done():
		case <-time.After(delay):
			call()
		}
		return nil
	})
}

// fail ends the world on an error of its own.
func (w *World) fail(err error) {
	if err != nil {
		w.group.Go(func() error { return err })
	}
}

func (w *World) byAddress(address string) *Engine {
	for _, engine := range w.engines {
		if engine.settings.Address == address {
			return engine
		}
	}
	return nil
}

func (w *World) byID(id string) *Engine {
	for _, engine := range w.engines {
		if engine.settings.ID == id {
			return engine
		}
	}
	return nil
}

func (w *World) anyDead(hops []hop) bool {
	for _, h := range hops {
		if !h.engine.holds(h.from, h.to) || h.engine.isDead() {
			return true
		}
	}
	return false
}

// reserve takes the memory of a request at every stage, or returns the stage that lacks it.
func (w *World) reserve(hops []hop, tokens int) *Engine {
	for i, h := range hops {
		if !h.engine.take(w.bytesOf(h, tokens)) {
			w.release(hops[:i], tokens)
			return h.engine
		}
	}
	return nil
}

func (w *World) release(hops []hop, tokens int) {
	for _, h := range hops {
		h.engine.take(-w.bytesOf(h, tokens))
	}
}

func (w *World) bytesOf(h hop, tokens int) float64 {
	model := w.settings.Model
	return float64(tokens) * model.TokenBytes * float64(h.to-h.from) / float64(model.Layers)
}

// take changes the memory in use; false means that it does not suffice.
func (e *Engine) take(bytes float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	free := e.settings.MemoryBytes - float64(e.to-e.from)*e.world.settings.Model.LayerBytes - e.used
	if bytes > free {
		return false
	}
	e.used = max(0, e.used+bytes)
	return true
}
