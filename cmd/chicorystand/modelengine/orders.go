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

// handleOrder executes an order, which states the complete set of layers that the engine has to hold.
func (e *Engine) handleOrder(x *serve.Exchange) {
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

// setHoldings immediately drops all layers that are not in wanted, and starts to load the missing ones.
func (e *Engine) setHoldings(wanted []chicoryhall.LayerRange) {
	held := e.holdings
	e.holdings = nil
	e.orderCount++
	e.loadsInProgress = 0
	for _, holding := range wanted {
		missing := missingLayers(held, holding)
		if len(missing) == 0 || e.settings.Weights == "" {
			e.holdings = append(e.holdings, holding)
			continue
		}
		e.load(holding, held, missing)
	}
}

// load starts to fetch the missing layers of a wanted range. Until they are loaded, the engine keeps serving the part of
// the range that it already holds.
func (e *Engine) load(wanted chicoryhall.LayerRange, held []chicoryhall.LayerRange, missing []int) {
	e.loadsInProgress++
	for _, h := range held {
		overlap := chicoryhall.LayerRange{
			Model: h.Model, Version: h.Version, From: max(h.From, wanted.From), To: min(h.To, wanted.To),
		}
		if h.Model == wanted.Model && h.Version == wanted.Version && overlap.From < overlap.To {
			e.holdings = append(e.holdings, overlap)
		}
	}
	order := e.orderCount
	e.startTask(func(ctx context.Context) {
		if e.fetchLayers(ctx, wanted, missing) {
			e.do(func() { e.loaded(order, wanted) })
		}
	})
}

// loaded adds a loaded range to the holdings, unless a newer order has arrived meanwhile.
func (e *Engine) loaded(order int64, wanted chicoryhall.LayerRange) {
	if order != e.orderCount {
		return
	}
	e.loadsInProgress--
	kept := e.holdings[:0:0]
	for _, h := range e.holdings {
		replaced := h.Model == wanted.Model && h.Version == wanted.Version && h.From >= wanted.From && h.To <= wanted.To
		if !replaced {
			kept = append(kept, h)
		}
	}
	e.holdings = append(kept, wanted)
	e.log.Log(event.StandinLoaded, "model", wanted.Model, "version", wanted.Version, "from", wanted.From, "to", wanted.To)
}

// fetchLayers fetches layers from the weight store, retrying each until it succeeds. It returns false if ctx is done before.
func (e *Engine) fetchLayers(ctx context.Context, wanted chicoryhall.LayerRange, layers []int) bool {
	for _, layer := range layers {
		path := fmt.Sprintf("/v1/weights/%s/%s/%d", wanted.Model, wanted.Version, layer)
		for {
			_, err := e.client.Get(ctx, e.settings.Weights, path, weightTimeout)
			if err == nil {
				break
			}
			if !e.pause(ctx, retryPause) {
				return false
			}
		}
	}
	return true
}

// pause waits for the delay. It returns false if ctx is done before.
func (e *Engine) pause(ctx context.Context, delay time.Duration) bool {
	elapsed := make(chan struct{})
	subscription := e.timer.After(delay, func(time.Time) { close(elapsed) })
	defer subscription.Cancel()
	select {
	case <-ctx.Done():
		return false
	case <-elapsed:
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
