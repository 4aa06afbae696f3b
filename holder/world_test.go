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

// tokensPerAttempt is larger than the number of tokens of any attempt, so that world.token gives each
// combination of attempt and position a different token.
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
	// tokens are the tokens of the daemon's current attempt; those before deliveredCount have been
	// delivered.
	tokens         []digest.Token
	deliveredCount int
}

// message is an input in flight; fail is called instead of deliver if the message is lost.
type message struct {
	text    string
	to      chicoryhall.DaemonID
	deliver func()
	fail    func()
}

// budget limits the faults, tokens and ticks of one schedule.
type budget struct{ losses, kills, pauses, falseDeaths, tokens, ticks int }

// world is a failure domain of daemons; the caller chooses the order of events one step at a time.
type world struct {
	now       time.Time
	runners   map[chicoryhall.DaemonID]*runner
	order     []chicoryhall.DaemonID
	messages  []*message
	remaining budget
	accepted  bool
	delivered []digest.Token
	problem   string
	// safetyOnly means that more daemons fail than a request survives; then it may be lost, but
	// nothing wrong may be delivered.
	safetyOnly bool
}

func newWorld(daemons int, remaining budget) *world {
	w := &world{now: time.Unix(1_000_000, 0), runners: map[chicoryhall.DaemonID]*runner{}, remaining: remaining}
	w.safetyOnly = remaining.kills+remaining.pauses > 1
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
	owner := w.runners["a"]
	record := chicoryhall.RequestRecord{ID: request, Deadline: w.now.Add(time.Hour), Attempt: 1}
	owner.attempt = 1
	w.execute(owner, owner.state.Accept(record, w.now))
	return w
}

func member(id chicoryhall.DaemonID, state chicoryhall.MemberState) chicoryhall.Member {
	return chicoryhall.Member{ID: id, FailureDomain: "xinyi", PeerAddress: "x", Incarnation: 1, StartIncarnation: 1, State: state}
}

// choice is a step that is possible now.
type choice struct {
	text string
	run  func()
}

// choices lists all steps that are possible now.
func (w *world) choices() []choice {
	var all []choice
	for i, m := range w.messages {
		if w.runners[m.to].paused {
			continue
		}
		all = append(all, choice{"deliver " + m.text, func() { w.remove(i).deliver() }})
		if m.fail != nil && w.remaining.losses > 0 {
			all = append(all, choice{"lose " + m.text, func() { w.remaining.losses--; w.remove(i).fail() }})
		}
	}
	for _, id := range w.order {
		all = append(all, w.daemonChoices(w.runners[id])...)
	}
	return all
}

func (w *world) daemonChoices(r *runner) []choice {
	name := string(r.id)
	var all []choice
	if r.killed {
		return nil
	}
	if r.paused {
		return []choice{{"wake " + name, func() { w.wake(r) }}}
	}
	if r.running && w.remaining.tokens > 0 {
		all = append(all, choice{"token at " + name, func() { w.remaining.tokens--; w.token(r) }})
	}
	if w.remaining.ticks > 0 {
		all = append(all, choice{"tick " + name, func() { w.remaining.ticks--; w.tick(r) }})
	}
	if w.accepted && w.remaining.kills > 0 {
		all = append(all, choice{"kill " + name, func() { w.remaining.kills--; w.kill(r) }})
	}
	if r.id == "a" && w.accepted && w.remaining.pauses > 0 {
		all = append(all, choice{"pause a", func() { w.remaining.pauses--; r.paused = true; w.declareDead(r) }})
	}
	if r.id == "a" && w.accepted && w.remaining.falseDeaths > 0 {
		all = append(all, choice{"false death of a", func() { w.remaining.falseDeaths--; w.declareDead(r) }})
	}
	return all
}

func (w *world) remove(i int) *message {
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

// wake lets a paused daemon continue; its driver fences it before any other input.
func (w *world) wake(r *runner) {
	r.paused = false
	r.state.Fence()
	// If there are several faults, only one may be unnoticed at a time. A pause that has ended must
	// therefore not be noticed later: its reports that are still in flight are dropped.
	if w.safetyOnly {
		w.messages = slices.DeleteFunc(w.messages, func(m *message) bool {
			return strings.HasPrefix(m.text, "death of "+string(r.id))
		})
	}
}

func (w *world) tick(r *runner) {
	w.now = w.now.Add(200 * time.Millisecond)
	w.execute(r, r.state.Tick(w.now))
}

func (w *world) token(r *runner) {
	position := len(r.tokens)
	token := digest.Token(r.attempt*tokensPerAttempt + position)
	r.tokens = append(r.tokens, token)
	w.execute(r, r.state.AppendTokens(request, position, []digest.Token{token}, w.now))
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

// declareDead makes all other daemons believe that a daemon is dead, each at its own time.
func (w *world) declareDead(dead *runner) {
	for _, id := range w.order {
		other := w.runners[id]
		if other == dead || other.killed {
			continue
		}
		w.send(&message{text: fmt.Sprintf("death of %s to %s", dead.id, id), to: id, deliver: func() {
			w.execute(other, other.state.MemberChanged(member(dead.id, chicoryhall.MemberDead), w.now))
		}})
	}
}

func (w *world) execute(r *runner, actions []holder.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case holder.SendBatch:
			w.sendBatch(r, a)
		case holder.SendClaims:
			w.sendClaims(r, a)
		case holder.Accepted:
			w.accepted = a.Err == nil
			r.running = a.Err == nil
		case holder.TokensReleased:
			w.release(r, a)
		case holder.Resume:
			r.running, r.attempt, r.tokens, r.deliveredCount = true, a.Record.Attempt, slices.Clone(a.Record.Tokens), 0
			w.deliverUntil(r, len(r.tokens))
		}
	}
}

func (w *world) release(r *runner, a holder.TokensReleased) {
	if a.Err != nil {
		r.running = false
		return
	}
	if r.running {
		w.deliverUntil(r, a.End)
	}
}

// deliverUntil delivers a daemon's tokens before end to the caller and checks that no position changes.
func (w *world) deliverUntil(r *runner, end int) {
	for ; r.deliveredCount < end; r.deliveredCount++ {
		token := r.tokens[r.deliveredCount]
		switch {
		case r.deliveredCount == len(w.delivered):
			w.delivered = append(w.delivered, token)
		case r.deliveredCount > len(w.delivered):
			w.problem = fmt.Sprintf("%s delivered position %d before %d", r.id, r.deliveredCount, len(w.delivered))
		case w.delivered[r.deliveredCount] != token:
			w.problem = fmt.Sprintf("%s delivered %d at position %d, earlier %d", r.id, token, r.deliveredCount, w.delivered[r.deliveredCount])
		}
	}
}

func (w *world) sendBatch(r *runner, a holder.SendBatch) {
	to := w.runners[a.To]
	failed := func() {
		w.inputTo(r, "failure", func() []holder.Action {
			w.retry(r)
			return r.state.BatchFailed(a.To, a.Number, w.now)
		})
	}
	w.send(&message{text: fmt.Sprintf("batch %d %s to %s", a.Number, r.id, a.To), to: a.To, fail: failed, deliver: func() {
		replies, actions := to.state.ReceiveBatch(r.id, a.Batch, w.now)
		w.send(&message{
			text: fmt.Sprintf("replies %d %s to %s", a.Number, a.To, r.id), to: r.id, fail: failed,
			deliver: func() { w.execute(r, r.state.BatchAnswered(a.To, a.Number, replies, w.now)) },
		})
		w.execute(to, actions)
	}})
}

// retry queues an input that advances the time to when r tries again.
func (w *world) retry(r *runner) {
	w.inputTo(r, "retry", func() []holder.Action {
		w.now = w.now.Add(200 * time.Millisecond)
		return r.state.Tick(w.now)
	})
}

// inputTo queues an input for a daemon, such as the failure of a call that it made, as a message to it.
func (w *world) inputTo(r *runner, text string, input func() []holder.Action) {
	if r.killed {
		return
	}
	w.send(&message{text: text + " at " + string(r.id), to: r.id, deliver: func() { w.execute(r, input()) }})
}

func (w *world) sendClaims(r *runner, a holder.SendClaims) {
	to := w.runners[a.To]
	lost := func() { w.retry(r) }
	w.send(&message{text: fmt.Sprintf("claim %s to %s", r.id, a.To), to: a.To, fail: lost, deliver: func() {
		replies, actions := to.state.ReceiveClaims(r.id, a.Claims, w.now)
		w.send(&message{
			text: fmt.Sprintf("agreement %s to %s", a.To, r.id), to: r.id, fail: lost,
			deliver: func() { w.execute(r, r.state.ClaimsAnswered(a.To, a.Claims, replies, w.now)) },
		})
		w.execute(to, actions)
	}})
}

// check returns a description of the violated invariant, or "".
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

// isQuiet reports whether no message is in flight.
func (w *world) isQuiet() bool { return len(w.messages) == 0 }

// running returns the number of daemons that run the request.
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
		fmt.Fprintf(&out, "%s %v %v %v %d %v %d %s|", id, r.killed, r.paused, r.running, r.attempt, r.tokens, r.deliveredCount, r.state.Describe())
	}
	texts := make([]string, 0, len(w.messages))
	for _, m := range w.messages {
		texts = append(texts, m.text)
	}
	slices.Sort(texts)
	fmt.Fprintf(&out, "%v %v %v %v", texts, w.remaining, w.delivered, w.accepted)
	return out.String()
}
