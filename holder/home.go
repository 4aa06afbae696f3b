package holder

import (
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
)

// held is a request of which this daemon is the home.
type held struct {
	handle Handle
	record chicoryhall.RequestRecord
	// term counts the homes, generation the second holders.
	term       int64
	generation int64
	// second is the second holder, or empty.
	second chicoryhall.DaemonID
	// former are earlier second holders that still have a replica.
	former []formerSecond
	// confirmed is what the second holder is known to have.
	confirmed confirmed
	// uncertain tells that another daemon may have become the home since the last answer.
	uncertain bool
	// accepting and resuming wait for the first answer.
	accepting bool
	resuming  bool
	// handOver asks the second holder to become the home.
	handOver bool
	// raising is the attempt that waits for an answer, or 0.
	raising int
}

// formerSecond is an earlier second holder with the generation of its replica.
type formerSecond struct {
	id         chicoryhall.DaemonID
	generation int64
}

// confirmed is what a second holder is known to have of a request.
type confirmed struct {
	record   bool
	tokens   int
	attempt  int
	finished bool
}

// current returns what a second holder that is up to date has.
func (h *held) current() confirmed {
	return confirmed{record: true, tokens: len(h.record.Tokens), attempt: h.record.Attempt, finished: h.record.Finished}
}

func (h *held) isBehind() bool {
	return h.second != "" && (h.confirmed != h.current() || h.uncertain || h.handOver)
}

// Accept takes a new request; Accepted answers.
func (s *State) Accept(record chicoryhall.RequestRecord, now time.Time) []Action {
	h := s.hold(record, 1)
	h.accepting = true
	s.place(h, now)
	s.pump(now)
	return s.flush()
}

func (s *State) hold(record chicoryhall.RequestRecord, term int64) *held {
	s.lastHandle++
	h := &held{handle: s.lastHandle, record: record, term: term}
	s.held[record.ID] = h
	s.byHandle[h.handle] = h
	return h
}

// RaiseAttempt raises the attempt of a request; Raised answers.
func (s *State) RaiseAttempt(id chicoryhall.RequestID, attempt int, now time.Time) []Action {
	h, ok := s.held[id]
	if !ok {
		return []Action{AttemptRaised{ID: id, Attempt: attempt, Err: chicoryhall.ErrReplaced}}
	}
	h.record.Attempt = max(h.record.Attempt, attempt)
	h.raising = attempt
	s.settle(h)
	s.pump(now)
	return s.flush()
}

// AppendTokens takes tokens of a request from position; Released answers.
func (s *State) AppendTokens(id chicoryhall.RequestID, position int, tokens []digest.Token, now time.Time) []Action {
	h, ok := s.held[id]
	if !ok {
		return []Action{TokensReleased{ID: id, End: position + len(tokens), Err: chicoryhall.ErrReplaced}}
	}
	if have := len(h.record.Tokens); position <= have && position+len(tokens) > have {
		h.record.Tokens = append(h.record.Tokens, tokens[have-position:]...)
	}
	s.settle(h)
	// Only this request's pipe can have something new to send; while its batch is in flight, the
	// tokens gather for the next one.
	if h.isBehind() && s.pipeTo(h.second).number == 0 {
		s.pump(now)
	}
	return s.flush()
}

// Finish records how a request ended.
func (s *State) Finish(id chicoryhall.RequestID, outcome chicoryhall.Outcome, now time.Time) []Action {
	h, ok := s.held[id]
	if !ok {
		return nil
	}
	h.record.Finished = true
	h.record.Outcome = outcome
	s.settle(h)
	s.pump(now)
	return s.flush()
}

// HandOver asks the second holders to become the homes of all requests held here.
func (s *State) HandOver(now time.Time) []Action {
	for _, h := range s.ordered() {
		h.handOver = true
	}
	s.pump(now)
	return s.flush()
}

// Abandon lets go of a request that was not accepted in time.
func (s *State) Abandon(id chicoryhall.RequestID, now time.Time) []Action {
	h, ok := s.held[id]
	if !ok {
		return nil
	}
	s.moveTo(h, "")
	s.dropFormer(h)
	s.drop(h)
	s.pump(now)
	return s.flush()
}

// OwnedCount returns the number of requests of which this daemon is the home.
func (s *State) OwnedCount() int { return len(s.held) }

// settle tells what the second holder has made possible, or all when there is none.
func (s *State) settle(h *held) {
	have := h.confirmed
	if h.second == "" {
		have = h.current()
	}
	if !have.record {
		return
	}
	if h.accepting {
		h.accepting = false
		s.do(Accepted{ID: h.record.ID})
	}
	if h.resuming {
		h.resuming = false
		s.do(Resume{Record: h.record})
	}
	if h.raising != 0 && have.attempt >= h.raising {
		s.do(AttemptRaised{ID: h.record.ID, Attempt: h.raising})
		h.raising = 0
	}
	s.do(TokensReleased{ID: h.record.ID, End: have.tokens})
	if have.finished {
		s.drop(h)
	}
}

// replaced lets go of a request that has another home.
func (s *State) replaced(h *held) {
	id := h.record.ID
	s.drop(h)
	if h.accepting {
		s.do(Accepted{ID: id, Err: chicoryhall.ErrReplaced})
	}
	if h.raising != 0 {
		s.do(AttemptRaised{ID: id, Attempt: h.raising, Err: chicoryhall.ErrReplaced})
	}
	s.do(TokensReleased{ID: id, End: len(h.record.Tokens), Err: chicoryhall.ErrReplaced})
}

func (s *State) drop(h *held) {
	delete(s.held, h.record.ID)
	delete(s.byHandle, h.handle)
}

// place finds a second holder for a request that has none.
func (s *State) place(h *held, now time.Time) {
	next, ok := s.nextSecond(h, now)
	if ok {
		s.moveTo(h, next)
		return
	}
	if h.accepting && h.record.Async {
		s.drop(h)
		s.do(Accepted{ID: h.record.ID, Err: ErrNoBackup})
		return
	}
	s.do(NoBackup{ID: h.record.ID})
	s.settle(h)
}

// nextSecond returns the best second holder other than the present one, a slow one if need be.
func (s *State) nextSecond(h *held, now time.Time) (chicoryhall.DaemonID, bool) {
	if id, ok := s.promptSecond(h, now); ok {
		return id, true
	}
	for _, id := range candidates(h.record.ID, s.self.ID, s.alive()) {
		if id != h.second {
			return id, true
		}
	}
	return "", false
}

// promptSecond returns the best second holder that has answered in time lately.
func (s *State) promptSecond(h *held, now time.Time) (chicoryhall.DaemonID, bool) {
	for _, id := range candidates(h.record.ID, s.self.ID, s.alive()) {
		if id != h.second && !now.Before(s.slow[id]) {
			return id, true
		}
	}
	return "", false
}

func (s *State) moveTo(h *held, second chicoryhall.DaemonID) {
	if h.second != "" {
		h.former = append(h.former, formerSecond{id: h.second, generation: h.generation})
	}
	h.second = second
	h.generation++
	h.confirmed = confirmed{}
}

// dropFormer lets earlier second holders go; the present one must have the record, or nobody may need it.
func (s *State) dropFormer(h *held) {
	for _, former := range h.former {
		if _, ok := s.peers[former.id]; ok {
			p := s.pipeTo(former.id)
			p.drops = append(p.drops, Update{Handle: h.handle, Term: h.term, Generation: former.generation, Drop: true})
		}
	}
	h.former = nil
}

// loseSecond finds another second holder when the present one has ended.
func (s *State) loseSecond(h *held, now time.Time) {
	if h.uncertain {
		s.replaced(h) // It may have become the home while this daemon did not run.
		return
	}
	h.second = ""
	s.place(h, now)
}

// replaceSeconds moves requests away from second holders that leave, and protects those without one.
func (s *State) replaceSeconds(now time.Time) {
	for _, h := range s.ordered() {
		second, ok := s.peers[h.second]
		switch {
		case h.uncertain || h.record.Finished:
		case h.second == "" && len(s.alive()) > 0:
			if next, found := s.nextSecond(h, now); found {
				s.moveTo(h, next)
			}
		case ok && second.State == chicoryhall.MemberLeaving:
			if next, found := s.nextSecond(h, now); found {
				s.moveTo(h, next)
			}
		}
	}
}
