package holder

import (
	"context"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/peer"
)

const (
	methodBatch  = "holder.batch"
	methodClaims = "holder.claims"
)

// wireBatch is a Batch with its updates packed by EncodeUpdates.
type wireBatch struct {
	Run     int64  `json:"r"`
	Updates []byte `json:"u"`
}

// wireVerdicts holds one byte for each verdict.
type wireVerdicts struct {
	Verdicts []byte `json:"v"`
}

type wireClaims struct {
	Claims []Claim `json:"c"`
}

func toWire(verdicts []Verdict) wireVerdicts {
	packed := make([]byte, len(verdicts))
	for i, verdict := range verdicts {
		packed[i] = byte(verdict)
	}
	return wireVerdicts{Verdicts: packed}
}

func fromWire(wire wireVerdicts) []Verdict {
	verdicts := make([]Verdict, len(wire.Verdicts))
	for i, packed := range wire.Verdicts {
		verdicts[i] = Verdict(packed)
	}
	return verdicts
}

func (k *Keeper) sendBatch(ctx context.Context, a SendBatch) {
	verdicts, err := k.exchangeBatch(ctx, a)
	k.step(func(s *State, now time.Time) []Action {
		if err != nil {
			return s.BatchFailed(a.To, a.Number, now)
		}
		return s.BatchAnswered(a.To, a.Number, verdicts, now)
	})
}

func (k *Keeper) exchangeBatch(ctx context.Context, a SendBatch) ([]Verdict, error) {
	ctx, cancel := peer.WithTimeout(ctx, k.timer, batchTimeout)
	defer cancel()
	packed, err := EncodeUpdates(a.Batch.Updates)
	if err != nil {
		return nil, err
	}
	wire, err := peer.Call[wireVerdicts](ctx, k.node, a.To, methodBatch, wireBatch{Run: a.Batch.Run, Updates: packed})
	return fromWire(wire), err
}

func (k *Keeper) handleBatch(_ context.Context, from chicoryhall.DaemonID, wire wireBatch) (wireVerdicts, error) {
	updates, err := DecodeUpdates(wire.Updates)
	if err != nil {
		return wireVerdicts{}, err
	}
	var verdicts []Verdict
	k.step(func(s *State, now time.Time) []Action {
		var actions []Action
		verdicts, actions = s.Receive(from, Batch{Run: wire.Run, Updates: updates}, now)
		return actions
	})
	return toWire(verdicts), nil
}

func (k *Keeper) sendClaims(ctx context.Context, a SendClaims) {
	ctx, cancel := peer.WithTimeout(ctx, k.timer, claimTimeout)
	defer cancel()
	wire, err := peer.Call[wireVerdicts](ctx, k.node, a.To, methodClaims, wireClaims{Claims: a.Claims})
	if err != nil {
		return // The State asks again.
	}
	k.step(func(s *State, now time.Time) []Action {
		return s.ClaimsAnswered(a.To, a.Claims, fromWire(wire), now)
	})
}

func (k *Keeper) handleClaims(_ context.Context, from chicoryhall.DaemonID, wire wireClaims) (wireVerdicts, error) {
	var verdicts []Verdict
	k.step(func(s *State, now time.Time) []Action {
		var actions []Action
		verdicts, actions = s.ReceiveClaims(from, wire.Claims, now)
		return actions
	})
	return toWire(verdicts), nil
}
