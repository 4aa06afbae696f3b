package modelengine

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
)

// obey answers an order; it is the absolute state that the engine shall reach.
func (e *Engine) obey(x *serve.Exchange) {
	var order engine.Order
	if !x.Decode(&order) {
		return
	}
	if e.settings.Fencing && order.Fence < e.fence {
		e.ledger.Orders = append(e.ledger.Orders, OrderRun{Fence: order.Fence, Refused: true})
		x.Reply(http.StatusOK, engine.OrderResult{Refusal: engine.RefusalOutdatedFence, Fence: e.fence})
		return
	}
	if order.Fence < e.fence {
		e.log.Log(event.StandinStaleOrder, "fence", order.Fence, "newest", e.fence)
	}
	e.ledger.Orders = append(e.ledger.Orders, OrderRun{Fence: order.Fence, Holdings: order.Layers, Leaving: order.Leaving})
	e.fence = max(e.fence, order.Fence)
	e.leaving = order.Leaving
	e.setHoldings(order.Layers)
	x.Reply(http.StatusOK, engine.OrderResult{Fence: e.fence})
}

func (e *Engine) initialHoldings() []chicoryhall.LayerRange {
	holdings := make([]chicoryhall.LayerRange, 0, len(e.settings.Holdings))
	for _, h := range e.settings.Holdings {
		holdings = append(holdings, chicoryhall.LayerRange(h))
	}
	return holdings
}

// setHoldings drops the layers that are not wanted at once and loads the missing ones.
func (e *Engine) setHoldings(wanted []chicoryhall.LayerRange) {
	held := e.holdings
	e.holdings = nil
	e.orders++
	e.loading = 0
	for _, holding := range wanted {
		missing := missingLayers(held, holding)
		if len(missing) == 0 || e.settings.Weights == "" {
			e.holdings = append(e.holdings, holding)
			continue
		}
		e.load(holding, held, missing)
	}
}

// load fetches the missing layers and then holds the wanted ones; until then it goes on with
// the part of the range that it held already.
func (e *Engine) load(wanted chicoryhall.LayerRange, held []chicoryhall.LayerRange, missing []int) {
	e.loading++
	for _, h := range held {
		common := chicoryhall.LayerRange{
			Model: h.Model, Version: h.Version, From: max(h.From, wanted.From), To: min(h.To, wanted.To),
		}
		if h.Model == wanted.Model && h.Version == wanted.Version && common.From < common.To {
			e.holdings = append(e.holdings, common)
		}
	}
	order := e.orders
	e.spawn(func(ctx context.Context) {
		if e.fetchLayers(ctx, wanted, missing) {
			e.do(func() { e.loaded(order, wanted) })
		}
	})
}

// loaded takes up a range unless a newer order came meanwhile.
func (e *Engine) loaded(order int64, wanted chicoryhall.LayerRange) {
	if order != e.orders {
		return
	}
	e.loading--
	kept := e.holdings[:0:0]
	for _, h := range e.holdings {
		inside := h.Model == wanted.Model && h.Version == wanted.Version && h.From >= wanted.From && h.To <= wanted.To
		if !inside {
			kept = append(kept, h)
		}
	}
	e.holdings = append(kept, wanted)
	e.log.Log(event.StandinLoaded, "model", wanted.Model, "version", wanted.Version, "from", wanted.From, "to", wanted.To)
}

func (e *Engine) fetchLayers(ctx context.Context, wanted chicoryhall.LayerRange, layers []int) bool {
	for _, layer := range layers {
		path := fmt.Sprintf("/v1/weights/%s/%s/%d", wanted.Model, wanted.Version, layer)
		for {
			_, err := e.client.Get(ctx, e.settings.Weights, path, weightTimeout)
			if err == nil {
				break
			}
			if !e.pause(ctx, weightRetry) {
				return false
			}
		}
	}
	return true
}

// pause waits and reports whether ctx still lasts.
func (e *Engine) pause(ctx context.Context, delay time.Duration) bool {
	woken := make(chan struct{})
	subscription := e.timer.After(delay, func(time.Time) { close(woken) })
	defer subscription.Cancel()
	select {
	case <-ctx.Done():
		return false
	case <-woken:
		return true
	}
}

func missingLayers(held []chicoryhall.LayerRange, wanted chicoryhall.LayerRange) []int {
	var missing []int
	for layer := wanted.From; layer < wanted.To; layer++ {
		if !holds(held, wanted.Model, wanted.Version, layer, layer+1) {
			missing = append(missing, layer)
		}
	}
	return missing
}

func (e *Engine) holds(model, version string, from, to int) bool {
	return holds(e.holdings, model, version, from, to)
}

func holds(held []chicoryhall.LayerRange, model, version string, from, to int) bool {
	for _, h := range held {
		if h.Model == model && h.Version == version && h.From <= from && h.To >= to {
			return true
		}
	}
	return false
}
