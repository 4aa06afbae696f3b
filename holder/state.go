package holder

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
)

// ErrAlone tells that no other daemon of the failure domain can hold a replica.
var ErrAlone = errors.New("no other daemon of the failure domain can hold the request")

const (
	// retryDelay is the time before a second holder without a timely answer gets another batch.
	retryDelay = 100 * time.Millisecond
	// orphanTime is how long a replica waits for membership to know its home.
	orphanTime = 5 * time.Second
	// slowTime is how long a second holder without a timely answer is passed over.
	slowTime = time.Second
	// keepTime is how long replicas and claims are kept beyond a request's deadline.
	keepTime = time.Minute
	// attemptStride separates the attempts of successive homes: a home may raise the attempt
	// that often without the next home's attempts losing their precedence.
	attemptStride = 1000
)

// State is one daemon's part in holding requests, as home and as second holder; it is for one goroutine.
type State struct {
	self chicoryhall.Member
	// peers are the other daemons of the failure domain that are not dead.
	peers map[chicoryhall.DaemonID]chicoryhall.Member
	slow  map[chicoryhall.DaemonID]time.Time

	held       map[chicoryhall.RequestID]*held
	byHandle   map[Handle]*held
	lastHandle Handle
	pipes      map[chicoryhall.DaemonID]*pipe
	lastBatch  uint64

	replicas map[chicoryhall.RequestID]*replica
	handles  map[remoteHandle]*replica
	finished *answers
	// moved tells which daemon became the home of a request, the exceptions to the id.
	moved map[chicoryhall.RequestID]exception
	// nextClaims is when unanswered claims are sent again.
	nextClaims time.Time

	actions []Action
}

// New returns a State of a daemon that holds nothing.
func New(self chicoryhall.Member) *State {
	return &State{
		self:     self,
		peers:    map[chicoryhall.DaemonID]chicoryhall.Member{},
		slow:     map[chicoryhall.DaemonID]time.Time{},
		held:     map[chicoryhall.RequestID]*held{},
		byHandle: map[Handle]*held{},
		pipes:    map[chicoryhall.DaemonID]*pipe{},
		replicas: map[chicoryhall.RequestID]*replica{},
		handles:  map[remoteHandle]*replica{},
		finished: newAnswers(),
		moved:    map[chicoryhall.RequestID]exception{},
	}
}

// MemberChanged takes a change of another daemon's entry.
func (s *State) MemberChanged(member chicoryhall.Member, now time.Time) []Action {
	if member.ID == s.self.ID || member.FailureDomain != s.self.FailureDomain {
		return nil
	}
	known, wasThere := s.peers[member.ID]
	s.peers[member.ID] = member
	if member.State == chicoryhall.MemberDead {
		delete(s.peers, member.ID)
	}
	restarted := wasThere && known.StartIncarnation != member.StartIncarnation
	if member.State == chicoryhall.MemberDead || restarted {
		s.lose(member, now)
	}
	if member.State != chicoryhall.MemberSuspect {
		s.replaceSeconds(now)
	}
	s.pump(now)
	return s.flush()
}

// lose lets go of a daemon whose process has ended.
func (s *State) lose(member chicoryhall.Member, now time.Time) {
	delete(s.pipes, member.ID)
	for _, h := range s.ordered() {
		if h.second == member.ID {
			s.loseSecond(h, now)
		}
	}
	s.agreed(member.ID, now)
	s.takeOver(member, now)
}

// Fence notes that this daemon may have been declared dead; only its second holders know.
func (s *State) Fence() {
	for _, h := range s.held {
		h.uncertain = h.second != ""
	}
	for _, p := range s.pipes {
		for i := range p.sent {
			p.sent[i].beforeFence = true
		}
	}
}

// Tick lets time pass.
func (s *State) Tick(now time.Time) []Action {
	s.expire(now)
	s.claimOrphans(now)
	s.retryClaims(now)
	s.replaceSeconds(now)
	s.pump(now)
	return s.flush()
}

// alive returns the daemons that can become second holders.
func (s *State) alive() []chicoryhall.DaemonID {
	var ids []chicoryhall.DaemonID
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		if s.peers[id].State == chicoryhall.MemberAlive {
			ids = append(ids, id)
		}
	}
	return ids
}

// ordered returns the held requests by handle, so that equal inputs give equal actions.
func (s *State) ordered() []*held {
	all := make([]*held, 0, len(s.held))
	for _, handle := range slices.Sorted(maps.Keys(s.byHandle)) {
		all = append(all, s.byHandle[handle])
	}
	return all
}

func (s *State) do(action Action) { s.actions = append(s.actions, action) }

func (s *State) flush() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// expire drops what is kept for requests whose deadline has long passed.
func (s *State) expire(now time.Time) {
	for id, r := range s.replicas {
		if now.Sub(r.record.Deadline) > keepTime {
			s.forget(id)
		}
	}
	for id, e := range s.moved {
		if now.After(e.until) {
			delete(s.moved, id)
		}
	}
	s.finished.expire(now)
}
