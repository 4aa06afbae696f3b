package holder

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chicoryhall.example/chicoryhall"
)

// pipe sends batches to one second holder, one at a time; what comes meanwhile gathers.
type pipe struct {
	// number is that of the batch in flight, or 0.
	number uint64
	sent   []sentUpdate
	drops  []Update
	// retryAt is when a batch may go out after one without a timely answer.
	retryAt time.Time
}

// sentUpdate remembers what an update confirms once it is taken.
type sentUpdate struct {
	handle     Handle
	generation int64
	confirms   confirmed
	handOver   bool
	// beforeFence tells that the answer may be from before the second holder took over.
	beforeFence bool
	// drop is the update itself when it drops a replica, else nil.
	drop *Update
}

func (s *State) pipeTo(id chicoryhall.DaemonID) *pipe {
	p, ok := s.pipes[id]
	if !ok {
		p = &pipe{}
		s.pipes[id] = p
	}
	return p
}

// pump sends a batch to each second holder that is behind and has none in flight.
func (s *State) pump(now time.Time) {
	waiting := map[chicoryhall.DaemonID][]*held{}
	for _, h := range s.byHandle {
		if h.isBehind() {
			waiting[h.second] = append(waiting[h.second], h)
		}
	}
	for _, behind := range waiting {
		slices.SortFunc(behind, func(a, b *held) int { return cmp.Compare(a.handle, b.handle) })
	}
	for id, p := range s.pipes {
		if len(p.drops) > 0 {
			waiting[id] = append(waiting[id], nil)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(waiting)) {
		p := s.pipeTo(id)
		if p.number == 0 && !now.Before(p.retryAt) {
			s.sendBatch(id, p, waiting[id])
		}
	}
}

func (s *State) sendBatch(to chicoryhall.DaemonID, p *pipe, behind []*held) {
	batch := Batch{Run: s.self.StartIncarnation}
	p.sent = nil
	for i := range p.drops {
		batch.Updates = append(batch.Updates, p.drops[i])
		p.sent = append(p.sent, sentUpdate{handle: p.drops[i].Handle, drop: &p.drops[i]})
	}
	p.drops = nil
	for _, h := range behind {
		if h != nil {
			batch.Updates = append(batch.Updates, updateOf(h))
			p.sent = append(p.sent, sentUpdate{
				handle: h.handle, generation: h.generation, confirms: h.current(), handOver: h.handOver,
			})
		}
	}
	s.lastBatch++
	p.number = s.lastBatch
	s.do(SendBatch{To: to, Number: p.number, Batch: batch})
}

// updateOf returns what the second holder of a request lacks.
func updateOf(h *held) Update {
	u := Update{
		Handle: h.handle, Term: h.term, Generation: h.generation, Attempt: h.record.Attempt,
		Finished: h.record.Finished, Outcome: h.record.Outcome, HandOver: h.handOver,
	}
	if h.confirmed.record {
		u.Position = h.confirmed.tokens
		u.Tokens = h.record.Tokens[h.confirmed.tokens:]
		return u
	}
	record := h.record
	record.Tokens = slices.Clone(record.Tokens)
	u.Record = &record
	return u
}

// BatchAnswered takes the verdicts on a batch, one for each update.
func (s *State) BatchAnswered(from chicoryhall.DaemonID, number uint64, verdicts []Verdict, now time.Time) []Action {
	p, ok := s.pipes[from]
	if !ok || p.number != number || len(verdicts) != len(p.sent) {
		return nil
	}
	sent := p.sent
	p.number, p.sent = 0, nil
	delete(s.slow, from)
	for i, update := range sent {
		h, ok := s.byHandle[update.handle]
		if ok && update.drop == nil && h.second == from && h.generation == update.generation {
			s.answered(h, update, verdicts[i])
		}
	}
	s.pump(now)
	return s.flush()
}

func (s *State) answered(h *held, update sentUpdate, verdict Verdict) {
	switch verdict {
	case VerdictTaken:
		h.confirmed = update.confirms
		h.uncertain = h.uncertain && update.beforeFence
		if update.handOver {
			s.replaced(h)
			return
		}
		s.dropFormer(h)
		s.settle(h)
	case VerdictReplaced:
		s.replaced(h)
	case VerdictIncomplete:
		h.uncertain = h.uncertain || h.confirmed.record // It had the record: it restarted or took over.
		h.confirmed = confirmed{}
	}
}

// BatchFailed takes word that a batch had no timely answer; its requests find other second holders.
func (s *State) BatchFailed(to chicoryhall.DaemonID, number uint64, now time.Time) []Action {
	p, ok := s.pipes[to]
	if !ok || p.number != number {
		return nil
	}
	for _, update := range p.sent {
		if update.drop != nil {
			p.drops = append(p.drops, *update.drop)
		}
	}
	p.number, p.sent = 0, nil
	p.retryAt = now.Add(retryDelay)
	s.slow[to] = now.Add(slowTime)
	for _, h := range s.ordered() {
		if h.second != to || !h.isBehind() || h.uncertain {
			continue
		}
		if next, found := s.promptSecond(h, now); found {
			s.moveTo(h, next)
		}
	}
	s.pump(now)
	return s.flush()
}
