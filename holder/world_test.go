package holder_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/digest"
	"chicoryhall.example/chicoryhall/holder"
)

// tokensPerAttempt separates the tokens of different attempts: each attempt makes its own.
const tokensPerAttempt = 100

const request chicoryhall.RequestID = "a.1"

// runner is one daemon: its State, the request that it runs and whether it may act.
type runner struct {
	id      chicoryhall.DaemonID
	state   *holder.State
	killed  bool
	paused  bool
	running bool
	attempt int
	// tokens is how far the daemon's own run has come.
	tokens []digest.Token
	given  int
}

// message is one input on its way; deliver may be undone by fail.
type message struct {
	text    string
	to      chicoryhall.DaemonID
	deliver func()
	fail    func()
}

// budget bounds the faults and tokens of one run.
type budget struct{ losses, kills, pauses, alarms, tokens, ticks int }

// world is a failure domain whose schedule is chosen from outside, one step at a time.
type world struct {
	now       time.Time
	runners   map[chicoryhall.DaemonID]*runner
	order     []chicoryhall.DaemonID
	messages  []*message
	left      budget
	accepted  bool
	delivered []digest.Token
	problem   string
	// safetyOnly tells that more daemons fail than requests survive; nothing wrong may be delivered.
	safetyOnly bool
}

func newWorld(daemons int, left budget) *world {
	w := &world{now: time.Unix(1_000_000, 0), runners: map[chicoryhall.DaemonID]*runner{}, left: left}
	w.safetyOnly = left.kills+left.pauses > 1
	for i := range daemons {
		w.order = append(w.order, chicoryhall.DaemonID(rune('a'+i)))
	}
	for _, id := range w.order {
		r := &runner{id: id, state: holder.New(member(id, chicoryhall.MemberAlive))}
		w.runners[id] = r
		for _, other := range w.order {
			r.state.MemberChanged(member(other, chicoryhall.MemberAlive), w.now)
		}
	}
	home := w.runners["a"]
	record := chicoryhall.RequestRecord{ID: request, Deadline: w.now.Add(time.Hour), Attempt: 1}
	home.attempt = 1
	w.carryOut(home, home.state.Accept(record, w.now))
	return w
}

func member(id chicoryhall.DaemonID, state chicoryhall.MemberState) chicoryhall.Member {
	return chicoryhall.Member{ID: id, FailureDomain: "xinyi", PeerAddress: "x", Incarnation: 1, StartIncarnation: 1, State: state}
}

// choice is one step that may come next.
type choice struct {
	text string
	run  func()
}

// choices lists every step that is possible now.
func (w *world) choices() []choice {
	var all []choice
	for i, m := range w.messages {
		if w.runners[m.to].paused {
			continue
		}
		all = append(all, choice{"deliver " + m.text, func() { w.take(i).deliver() }})
		if m.fail != nil && w.left.losses > 0 {
			all = append(all, choice{"lose " + m.text, func() { w.left.losses--; w.take(i).fail() }})
		}
	}
	for _, id := range w.order {
		all = append(all, w.choicesOf(w.runners[id])...)
	}
	return all
}

func (w *world) choicesOf(r *runner) []choice {
	name := string(r.id)
	var all []choice
	if r.killed {
		return nil
	}
	if r.paused {
		return []choice{{"wake " + name, func() { w.wake(r) }}}
	}
	if r.running && w.left.tokens > 0 {
		all = append(all, choice{"token at " + name, func() { w.left.tokens--; w.token(r) }})
	}
	if w.left.ticks > 0 {
		all = append(all, choice{"tick " + name, func() { w.left.ticks--; w.tick(r) }})
	}
	if w.accepted && w.left.kills > 0 {
		all = append(all, choice{"kill " + name, func() { w.left.kills--; w.kill(r) }})
	}
	if r.id == "a" && w.accepted && w.left.pauses > 0 {
		all = append(all, choice{"pause a", func() { w.left.pauses--; r.paused = true; w.declareDead(r) }})
	}
	if r.id == "a" && w.accepted && w.left.alarms > 0 {
		all = append(all, choice{"false alarm of a", func() { w.left.alarms--; w.declareDead(r) }})
	}
	return all
}

func (w *world) take(i int) *message {
	m := w.messages[i]
	w.messages = slices.Delete(slices.Clone(w.messages), i, i+1)
	return m
}

func (w *world) send(m *message) {
	if !w.runners[m.to].killed {
		w.messages = append(w.messages, m)
		return
	}
	if m.fail != nil {
		m.fail()
	}
}

// wake lets a paused daemon go on, fenced as its driver fences it before any other input.
func (w *world) wake(r *runner) {
	r.paused = false
	r.state.Fence()
	if w.safetyOnly { // One fault at a time: who has not missed the daemon yet does not do so after.
		w.messages = slices.DeleteFunc(w.messages, func(m *message) bool {
			return strings.HasPrefix(m.text, "death of "+string(r.id))
		})
	}
}

func (w *world) tick(r *runner) {
	w.now = w.now.Add(200 * time.Millisecond)
	w.carryOut(r, r.state.Tick(w.now))
}

func (w *world) token(r *runner) {
	position := len(r.tokens)
	token := digest.Token(r.attempt*tokensPerAttempt + position)
	r.tokens = append(r.tokens, token)
	w.carryOut(r, r.state.Tokens(request, position, []digest.Token{token}, w.now))
}

func (w *world) kill(r *runner) {
	r.killed = true
	r.running = false
	messages := w.messages
	w.messages = nil
	for _, m := range messages {
		w.send(m)
	}
	w.declareDead(r)
}

// declareDead lets every other daemon believe r dead, each at its own time.
func (w *world) declareDead(dead *runner) {
	for _, id := range w.order {
		other := w.runners[id]
		if other == dead || other.killed {
			continue
		}
		w.send(&message{text: fmt.Sprintf("death of %s to %s", dead.id, id), to: id, deliver: func() {
			w.carryOut(other, other.state.MemberChanged(member(dead.id, chicoryhall.MemberDead), w.now))
		}})
	}
}

func (w *world) carryOut(r *runner, actions []holder.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case holder.SendBatch:
			w.sendBatch(r, a)
		case holder.SendClaims:
			w.sendClaims(r, a)
		case holder.Accepted:
			w.accepted = a.Err == nil
			r.running = a.Err == nil
		case holder.Released:
			w.release(r, a)
		case holder.Resume:
			r.running, r.attempt, r.tokens, r.given = true, a.Record.Attempt, slices.Clone(a.Record.Tokens), 0
			w.give(r, len(r.tokens))
		}
	}
}

func (w *world) release(r *runner, a holder.Released) {
	if a.Err != nil {
		r.running = false
		return
	}
	if r.running {
		w.give(r, a.End)
	}
}

// give delivers a daemon's tokens before end to the caller and checks that no position changes.
func (w *world) give(r *runner, end int) {
	for ; r.given < end; r.given++ {
		token := r.tokens[r.given]
		switch {
		case r.given == len(w.delivered):
			w.delivered = append(w.delivered, token)
		case r.given > len(w.delivered):
			w.problem = fmt.Sprintf("%s delivered position %d before %d", r.id, r.given, len(w.delivered))
		case w.delivered[r.given] != token:
			w.problem = fmt.Sprintf("%s delivered %d at position %d, earlier %d", r.id, token, r.given, w.delivered[r.given])
		}
	}
}

func (w *world) sendBatch(r *runner, a holder.SendBatch) {
	to := w.runners[a.To]
	failed := func() {
		w.back(r, "failure", func() []holder.Action {
			w.retry(r)
			return r.state.BatchFailed(a.To, a.Number, w.now)
		})
	}
	w.send(&message{text: fmt.Sprintf("batch %d %s to %s", a.Number, r.id, a.To), to: a.To, fail: failed, deliver: func() {
		verdicts, actions := to.state.Receive(r.id, a.Batch, w.now)
		w.send(&message{
			text: fmt.Sprintf("verdicts %d %s to %s", a.Number, a.To, r.id), to: r.id, fail: failed,
			deliver: func() { w.carryOut(r, r.state.BatchAnswered(a.To, a.Number, verdicts, w.now)) },
		})
		w.carryOut(to, actions)
	}})
}

// retry lets r's clock reach the time at which it tries again.
func (w *world) retry(r *runner) {
	w.back(r, "retry", func() []holder.Action {
		w.now = w.now.Add(200 * time.Millisecond)
		return r.state.Tick(w.now)
	})
}

// back lets r hear of something at once unless it cannot act, and then when it can.
func (w *world) back(r *runner, text string, input func() []holder.Action) {
	if r.killed {
		return
	}
	w.send(&message{text: text + " at " + string(r.id), to: r.id, deliver: func() { w.carryOut(r, input()) }})
}

func (w *world) sendClaims(r *runner, a holder.SendClaims) {
	to := w.runners[a.To]
	lost := func() { w.retry(r) }
	w.send(&message{text: fmt.Sprintf("claim %s to %s", r.id, a.To), to: a.To, fail: lost, deliver: func() {
		verdicts, actions := to.state.ReceiveClaims(r.id, a.Claims, w.now)
		w.send(&message{
			text: fmt.Sprintf("consent %s to %s", a.To, r.id), to: r.id, fail: lost,
			deliver: func() { w.carryOut(r, r.state.ClaimsAnswered(a.To, a.Claims, verdicts, w.now)) },
		})
		w.carryOut(to, actions)
	}})
}

// check returns what is wrong in this state, or "".
func (w *world) check() string {
	if w.problem != "" || !w.accepted || w.safetyOnly {
		return w.problem
	}
	for _, id := range w.order {
		if r := w.runners[id]; !r.killed && r.state.Holds(request) {
			return ""
		}
	}
	return "no daemon that runs holds the accepted request"
}

// isQuiet tells whether nothing is on its way any more.
func (w *world) isQuiet() bool { return len(w.messages) == 0 }

// running returns the daemons that run the request.
func (w *world) running() int {
	count := 0
	for _, r := range w.runners {
		if r.running && !r.killed {
			count++
		}
	}
	return count
}

func (w *world) describe() string {
	var out strings.Builder
	for _, id := range w.order {
		r := w.runners[id]
		fmt.Fprintf(&out, "%s %v %v %v %d %v %d %s|", id, r.killed, r.paused, r.running, r.attempt, r.tokens, r.given, r.state.Describe())
	}
	texts := make([]string, 0, len(w.messages))
	for _, m := range w.messages {
		texts = append(texts, m.text)
	}
	slices.Sort(texts)
	fmt.Fprintf(&out, "%v %v %v %v", texts, w.left, w.delivered, w.accepted)
	return out.String()
}
