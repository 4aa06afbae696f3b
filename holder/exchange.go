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
	Claims []TakeoverClaim `json:"c"`
}

func toWire(verdicts []Reply) wireVerdicts {
	packed := make([]byte, len(verdicts))
	for i, verdict := range verdicts {
		packed[i] = byte(verdict)
	}
	return wireVerdicts{Verdicts: packed}
}

func fromWire(wire wireVerdicts) []Reply {
	verdicts := make([]Reply, len(wire.Verdicts))
	for i, packed := range wire.Verdicts {
		verdicts[i] = Reply(packed)
	}
	return verdicts
}

func (k *Replicator) sendBatch(ctx context.Context, a SendBatch) {
	verdicts, err := k.exchangeBatch(ctx, a)
	k.step(func(s *State, now time.Time) []Action {
		if err != nil {
			return s.BatchFailed(a.To, a.Number, now)
		}
		return s.BatchAnswered(a.To, a.Number, verdicts, now)
	})
}

func (k *Replicator) exchangeBatch(ctx context.Context, a SendBatch) ([]Reply, error) {
	ctx, cancel := peer.WithTimeout(ctx, k.timer, batchTimeout)
	defer cancel()
	packed, err := EncodeUpdates(a.Batch.Updates)
	if err != nil {
		return nil, err
	}
	wire, err := peer.Call[wireVerdicts](ctx, k.node, a.To, methodBatch, wireBatch{Run: a.Batch.StartIncarnation, Updates: packed})
	return fromWire(wire), err
}

func (k *Replicator) handleBatch(_ context.Context, from chicoryhall.DaemonID, wire wireBatch) (wireVerdicts, error) {
	updates, err := DecodeUpdates(wire.Updates)
	if err != nil {
		return wireVerdicts{}, err
	}
	var verdicts []Reply
	k.step(func(s *State, now time.Time) []Action {
		var actions []Action
		verdicts, actions = s.ReceiveBatch(from, Batch{StartIncarnation: wire.Run, Updates: updates}, now)
		return actions
	})
	return toWire(verdicts), nil
}

func (k *Replicator) sendClaims(ctx context.Context, a SendClaims) {
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

func (k *Replicator) handleClaims(_ context.Context, from chicoryhall.DaemonID, wire wireClaims) (wireVerdicts, error) {
	var verdicts []Reply
	k.step(func(s *State, now time.Time) []Action {
		var actions []Action
		verdicts, actions = s.ReceiveClaims(from, wire.Claims, now)
		return actions
	})
	return toWire(verdicts), nil
}
