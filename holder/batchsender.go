package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// batchSender sends batches to one backup, one at a time; updates that come meanwhile go into the
// next batch.
type batchSender struct {
	// inFlight is the number of the batch in flight, or 0.
	inFlight uint64
	sent     []sentUpdate
	drops    []Update
	// retryAt is when the next batch may be sent after one that got no reply in time.
	retryAt time.Time
}

// sentUpdate is an update in flight; state is what the backup has once it accepts the update.
type sentUpdate struct {
	handle     Handle
	generation int64
	state      backupState
	handOver   bool
	// sentBeforeFence means that the update was in flight when Fence was called, so that an
	// accepting reply does not prove the ownership.
	sentBeforeFence bool
	// drop is the update itself if it tells the backup to drop a replica, else nil.
	drop *Update
}

func (s *State) senderTo(id chicoryhall.DaemonID) *batchSender {
	sender, ok := s.senders[id]
	if !ok {
		sender = &batchSender{}
		s.senders[id] = sender
	}
	return sender
}

// sendPending sends a batch to each backup that lacks something and has no batch in flight.
func (s *State) sendPending(now time.Time) {
	// lagging holds, for each backup that needs a batch, the requests of which it lacks something. A
	// nil entry stands for no request: it is there because of the drops, which sendBatch adds.
	lagging := map[chicoryhall.DaemonID][]*ownedRequest{}
	for _, o := range s.ownedByHandle {
		if o.isBackupBehind() {
			lagging[o.backup] = append(lagging[o.backup], o)
		}
	}
	for _, requests := range lagging {
		slices.SortFunc(requests, func(a, b *ownedRequest) int { return cmp.Compare(a.handle, b.handle) })
	}
	for id, sender := range s.senders {
		if len(sender.drops) > 0 {
			lagging[id] = append(lagging[id], nil) // The drops need a batch even if no request does.
		}
	}
	for _, id := range slices.Sorted(maps.Keys(lagging)) {
		sender := s.senderTo(id)
		if sender.inFlight == 0 && !now.Before(sender.retryAt) {
			s.sendBatch(id, sender, lagging[id])
		}
	}
}

func (s *State) sendBatch(to chicoryhall.DaemonID, sender *batchSender, requests []*ownedRequest) {
	batch := Batch{StartIncarnation: s.self.StartIncarnation}
	sender.sent = nil
	for i := range sender.drops {
		batch.Updates = append(batch.Updates, sender.drops[i])
		sender.sent = append(sender.sent, sentUpdate{handle: sender.drops[i].Handle, drop: &sender.drops[i]})
	}
	sender.drops = nil
	for _, o := range requests {
		if o != nil {
			batch.Updates = append(batch.Updates, updateOf(o))
			sender.sent = append(sender.sent, sentUpdate{
				handle: o.handle, generation: o.generation, state: o.latestState(), handOver: o.handOver,
			})
		}
	}
	s.lastBatch++
	sender.inFlight = s.lastBatch
	s.emit(SendBatch{To: to, Number: sender.inFlight, Batch: batch})
}

// updateOf returns what the request's backup lacks.
func updateOf(o *ownedRequest) Update {
	u := Update{
		Handle: o.handle, Term: o.term, Generation: o.generation, Attempt: o.record.Attempt,
		Finished: o.record.Finished, Outcome: o.record.Outcome, HandOver: o.handOver,
	}
	if o.confirmed.record {
		u.Position = o.confirmed.tokens
		u.Tokens = o.record.Tokens[o.confirmed.tokens:]
		return u
	}
	record := o.record
	record.Tokens = slices.Clone(record.Tokens)
	u.Record = &record
	return u
}

// BatchAnswered handles the replies to a batch, one for each update.
func (s *State) BatchAnswered(from chicoryhall.DaemonID, number uint64, replies []Reply, now time.Time) []Action {
	sender, ok := s.senders[from]
	if !ok || sender.inFlight != number || len(replies) != len(sender.sent) {
		return nil
	}
	sent := sender.sent
	sender.inFlight, sender.sent = 0, nil
	delete(s.slowUntil, from)
	for i, update := range sent {
		o, ok := s.ownedByHandle[update.handle]
		if ok && update.drop == nil && o.backup == from && o.generation == update.generation {
			s.handleReply(o, update, replies[i])
		}
	}
	s.sendPending(now)
	return s.flush()
}

func (s *State) handleReply(o *ownedRequest, update sentUpdate, reply Reply) {
	switch reply {
	case ReplyAccepted:
		o.confirmed = update.state
		o.ownershipUncertain = o.ownershipUncertain && update.sentBeforeFence
		if update.handOver {
			s.loseOwnership(o)
			return
		}
		s.dropFormerReplicas(o)
		s.notifyProgress(o)
	case ReplyReplaced:
		s.loseOwnership(o)
	case ReplyIncomplete:
		o.ownershipUncertain = o.ownershipUncertain || o.confirmed.record // A backup that lost the record has restarted or has taken over.
		o.confirmed = backupState{}
	}
}

// BatchFailed handles a batch whose call failed or timed out. Requests whose ownership is certain
// move to another backup if there is a responsive one.
func (s *State) BatchFailed(to chicoryhall.DaemonID, number uint64, now time.Time) []Action {
	sender, ok := s.senders[to]
	if !ok || sender.inFlight != number {
		return nil
	}
	for _, update := range sender.sent {
		if update.drop != nil {
			sender.drops = append(sender.drops, *update.drop)
		}
	}
	sender.inFlight, sender.sent = 0, nil
	sender.retryAt = now.Add(retryDelay)
	s.slowUntil[to] = now.Add(slowPeriod)
	for _, o := range s.orderedOwned() {
		if o.backup != to || !o.isBackupBehind() || o.ownershipUncertain {
			continue
		}
		if next, found := s.responsiveBackup(o, now); found {
			s.setBackup(o, next)
		}
	}
	s.sendPending(now)
	return s.flush()
}
