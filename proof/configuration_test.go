package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/operator"
)

const (
	// inForceWithin is what "within seconds" means here.
	inForceWithin = 10 * time.Second
	// editors is the number of operators who race; each makes rounds accepted changes.
	editors = 3
	rounds  = 4
	// restoredFor is how long the daemons are watched after the table went back.
	restoredFor = 12 * time.Second
)

// operatorAt returns a client of the administration API of a daemon.
func operatorAt(t *testing.T, d *daemon) *operator.Client {
	t.Helper()
	client, err := operator.NewClient(d.operators, operatorToken, nil)
	must.NoError(t, err)
	return client
}

// versionAt returns the version of a service that a daemon has in force, or 0.
func versionAt(t *testing.T, d *daemon, service chicoryhall.ServiceName) int64 {
	t.Helper()
	_, tag, err := operatorAt(t, d).Get(context.Background(), service)
	if err != nil || tag == "" {
		return 0
	}
	return numberOf(t, tag)
}

// numberOf returns the number of a version from its ETag.
func numberOf(t *testing.T, tag string) int64 {
	t.Helper()
	var number int64
	_, err := fmt.Sscanf(tag, "\"%d-", &number)
	must.NoError(t, err, must.Sprintf("ETag %s", tag))
	return number
}

// awaitVersion waits until all running daemons have at least a version in force.
func (c *cluster) awaitVersion(t *testing.T, service chicoryhall.ServiceName, number int64) {
	t.Helper()
	for _, d := range c.daemons {
		if !d.running() {
			continue
		}
		eventually(t, fmt.Sprintf("version %d of %s at %s", number, service, d.id), inForceWithin, func() bool {
			return versionAt(t, d, service) >= number
		})
	}
}

// edit returns a text with another limit of requests a second.
func edit(text string, limit int) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if before, _, found := strings.Cut(line, "requestsPerSecond:"); found {
			lines[i] = fmt.Sprintf("%srequestsPerSecond: %d", before, limit)
		}
	}
	return strings.Join(lines, "\n")
}

// change makes one accepted change at a daemon, reading again after each conflict.
func change(t *testing.T, d *daemon, limit int) (number int64, conflicts int) {
	t.Helper()
	client := operatorAt(t, d)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		text, tag, err := client.Get(context.Background(), booking)
		if err != nil {
			continue
		}
		accepted, err := client.Apply(context.Background(), booking, edit(text, limit), tag)
		if err == nil {
			return accepted.Number, conflicts
		}
		conflicts++
		time.Sleep(poll)
	}
	return 0, conflicts
}

// proveOperatorsRace lets operators edit one document at all daemons at once.
func proveOperatorsRace(t *testing.T, c *cluster) {
	var mu sync.Mutex
	accepted := map[int64]int{}
	conflicts := 0
	watched := c.watchVersions(t)
	var group sync.WaitGroup
	for e := range editors {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := range rounds {
				limit := 100 + e*rounds + round
				number, lost := change(t, c.daemons[(e+round)%len(c.daemons)], limit)
				mu.Lock()
				accepted[number]++
				conflicts += lost
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	must.Zero(t, accepted[0], must.Sprint("a change was not accepted within 20s"))
	must.MapLen(t, editors*rounds, accepted, must.Sprint("each accepted change has a number of its own"))
	newest := int64(1 + editors*rounds)
	c.awaitVersion(t, booking, newest)
	t.Logf("%d changes accepted, %d conflicts", editors*rounds, conflicts)
	want, _, err := operatorAt(t, c.daemons[0]).Get(context.Background(), booking)
	must.NoError(t, err)
	for _, d := range c.daemons {
		must.Eq(t, newest, versionAt(t, d, booking))
		text, _, err := operatorAt(t, d).Get(context.Background(), booking)
		must.NoError(t, err)
		must.Eq(t, want, text)
	}
	watched()
}

// watchVersions notes the versions in force until the returned function is called, which fails
// the test if one went back.
func (c *cluster) watchVersions(t *testing.T) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	reverted := make(chan string, 1)
	go func() {
		newest := map[chicoryhall.DaemonID]int64{}
		for {
			select {
			case <-done:
				close(reverted)
				return
			case <-time.After(poll):
			}
			for _, d := range c.daemons {
				number := versionAt(t, d, booking)
				if number > 0 && number < newest[d.id] {
					reverted <- fmt.Sprintf("%s went from version %d back to %d", d.id, newest[d.id], number)
					return
				}
				newest[d.id] = max(number, newest[d.id])
			}
		}
	}()
	return func() {
		close(done)
		if what, went := <-reverted; went {
			t.Fatal(what)
		}
	}
}

// proveTableRestored puts the table back to an older state: the daemons stay at the newest
// version, a new daemon learns it from them, and the next change gets a higher number.
func proveTableRestored(t *testing.T, c *cluster) {
	c.platform.act(t, "snapshot")
	number, _ := change(t, c.daemons[0], 500)
	c.awaitVersion(t, booking, number)
	watched := c.watchVersions(t)
	c.platform.act(t, "restore")
	time.Sleep(restoredFor)
	c.daemons[1].kill()
	c.startDaemon(t, c.daemons[1])
	c.awaitReady(t, c.daemons[1])
	c.awaitVersion(t, booking, number)
	watched()
	next, _ := change(t, c.daemons[1], 600)
	must.Greater(t, number, next, must.Sprint("the change after the restore"))
	c.awaitVersion(t, booking, next)
}

// proveStartWithoutPlatform starts a daemon while the table is down: its peers give it the documents.
func proveStartWithoutPlatform(t *testing.T, c *cluster) {
	number, _ := change(t, c.daemons[0], 500)
	c.awaitVersion(t, booking, number)
	for _, outage := range []string{"refuse", "silent"} {
		c.daemons[1].kill()
		c.platform.faults(t, platformFaults{Table: serviceFaults{Outage: outage}})
		c.startDaemon(t, c.daemons[1])
		c.awaitReady(t, c.daemons[1])
		must.Eq(t, number, versionAt(t, c.daemons[1], booking))
		a := c.draft("a draft at a daemon that started without the table", 5).to(c.daemons[1])
		a.mustBeWhole(t, a.send(t))
		c.platform.faults(t, platformFaults{})
	}
}

// proveDocumentAnswerLost loses the table's answer to an accepted change.
func proveDocumentAnswerLost(t *testing.T, c *cluster) {
	for i, silently := range []bool{false, true} {
		before := versionAt(t, c.daemons[0], booking)
		text, tag, err := operatorAt(t, c.daemons[0]).Get(context.Background(), booking)
		must.NoError(t, err)
		c.platform.faults(t, platformFaults{Table: serviceFaults{LoseAnswers: 1, LoseSilently: silently}})
		accepted, err := operatorAt(t, c.daemons[0]).Apply(context.Background(), booking, edit(text, 700+i), tag)
		must.NoError(t, err, must.Sprintf("answer lost, silently %t", silently))
		must.Eq(t, before+1, accepted.Number)
		c.awaitVersion(t, booking, accepted.Number)
	}
}

// proveDocumentAfterPause freezes a daemon while a change is accepted; once awake it follows.
func proveDocumentAfterPause(t *testing.T, c *cluster) {
	c.daemons[1].pause()
	number, _ := change(t, c.daemons[0], 500)
	must.Positive(t, number)
	time.Sleep(3 * time.Second)
	c.daemons[1].resume()
	c.awaitVersion(t, booking, number)
}
