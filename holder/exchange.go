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

// batchMessage is a Batch with its updates encoded by EncodeUpdates.
type batchMessage struct {
	StartIncarnation int64  `json:"r"`
	Updates          []byte `json:"u"`
}

// replyMessage contains one byte for each Reply.
type replyMessage struct {
	Replies []byte `json:"v"`
}

type claimMessage struct {
	Claims []TakeoverClaim `json:"c"`
}

func encodeReplies(replies []Reply) replyMessage {
	packed := make([]byte, len(replies))
	for i, reply := range replies {
		packed[i] = byte(reply)
	}
	return replyMessage{Replies: packed}
}

func decodeReplies(message replyMessage) []Reply {
	replies := make([]Reply, len(message.Replies))
	for i, packed := range message.Replies {
		replies[i] = Reply(packed)
	}
	return replies
}

func (rep *Replicator) sendBatch(ctx context.Context, a SendBatch) {
	replies, err := rep.exchangeBatch(ctx, a)
	rep.step(func(s *State, now time.Time) []Action {
		if err != nil {
			return s.BatchFailed(a.To, a.Number, now)
		}
		return s.BatchAnswered(a.To, a.Number, replies, now)
	})
}

func (rep *Replicator) exchangeBatch(ctx context.Context, a SendBatch) ([]Reply, error) {
	ctx, cancel := peer.WithTimeout(ctx, rep.timer, batchTimeout)
	defer cancel()
	packed, err := EncodeUpdates(a.Batch.Updates)
	if err != nil {
		return nil, err
	}
	message, err := peer.Call[replyMessage](ctx, rep.node, a.To, methodBatch, batchMessage{StartIncarnation: a.Batch.StartIncarnation, Updates: packed})
	return decodeReplies(message), err
}

func (rep *Replicator) handleBatch(_ context.Context, from chicoryhall.DaemonID, message batchMessage) (replyMessage, error) {
	updates, err := DecodeUpdates(message.Updates)
	if err != nil {
		return replyMessage{}, err
	}
	var replies []Reply
	rep.step(func(s *State, now time.Time) []Action {
		var actions []Action
		replies, actions = s.ReceiveBatch(from, Batch{StartIncarnation: message.StartIncarnation, Updates: updates}, now)
		return actions
	})
	return encodeReplies(replies), nil
}

func (rep *Replicator) sendClaims(ctx context.Context, a SendClaims) {
	ctx, cancel := peer.WithTimeout(ctx, rep.timer, claimTimeout)
	defer cancel()
	message, err := peer.Call[replyMessage](ctx, rep.node, a.To, methodClaims, claimMessage{Claims: a.Claims})
	if err != nil {
		return // The State sends the claims again.
	}
	rep.step(func(s *State, now time.Time) []Action {
		return s.ClaimsAnswered(a.To, a.Claims, decodeReplies(message), now)
	})
}

func (rep *Replicator) handleClaims(_ context.Context, from chicoryhall.DaemonID, message claimMessage) (replyMessage, error) {
	var replies []Reply
	rep.step(func(s *State, now time.Time) []Action {
		var actions []Action
		replies, actions = s.ReceiveClaims(from, message.Claims, now)
		return actions
	})
	return encodeReplies(replies), nil
}
