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
	// maxPropagationTime is the time within which an accepted document must be in force on all daemons.
	maxPropagationTime = 10 * time.Second
	// editors is the number of operators who change a document concurrently. Each makes rounds accepted changes.
	editors = 3
	rounds  = 4
	// observationTime is how long the daemons are observed after an older state of the table was restored.
	observationTime = 12 * time.Second
)

// operatorClient returns a client of a daemon's operator API.
func operatorClient(t *testing.T, d *daemon) *operator.Client {
	t.Helper()
	client, err := operator.NewClient(d.operators, operatorToken, nil)
	must.NoError(t, err)
	return client
}

// versionAt returns the number of the newest version of a service's document at a daemon, or 0.
func versionAt(t *testing.T, d *daemon, service chicoryhall.ServiceName) int64 {
	t.Helper()
	_, tag, err := operatorClient(t, d).Get(context.Background(), service)
	if err != nil || tag == "" {
		return 0
	}
	return numberOf(t, tag)
}

// numberOf returns the version number in an ETag.
func numberOf(t *testing.T, tag string) int64 {
	t.Helper()
	var number int64
	_, err := fmt.Sscanf(tag, "\"%d-", &number)
	must.NoError(t, err, must.Sprintf("ETag %s", tag))
	return number
}

// awaitVersion waits until all running daemons have at least the given version of a document.
func (c *cluster) awaitVersion(t *testing.T, service chicoryhall.ServiceName, number int64) {
	t.Helper()
	for _, d := range c.daemons {
		if !d.running() {
			continue
		}
		eventually(t, fmt.Sprintf("version %d of %s at %s", number, service, d.id), maxPropagationTime, func() bool {
			return versionAt(t, d, service) >= number
		})
	}
}

// withRateLimit returns the text of a document with its rate limit replaced.
func withRateLimit(text string, limit int) string {
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if before, _, found := strings.Cut(line, "requestsPerSecond:"); found {
			lines[i] = fmt.Sprintf("%srequestsPerSecond: %d", before, limit)
		}
	}
	return strings.Join(lines, "\n")
}

// applyChange changes a document at a daemon, trying again after each conflict, and returns the number of the accepted
// version, or 0 if no change was accepted.
func applyChange(t *testing.T, d *daemon, limit int) (number int64, conflicts int) {
	t.Helper()
	client := operatorClient(t, d)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		text, tag, err := client.Get(context.Background(), booking)
		if err != nil {
			continue
		}
		accepted, err := client.Apply(context.Background(), booking, withRateLimit(text, limit), tag)
		if err == nil {
			return accepted.Number, conflicts
		}
		conflicts++
		time.Sleep(pollPeriod)
	}
	return 0, conflicts
}

// proveOperatorsRace lets several operators change one document concurrently at all daemons.
func proveOperatorsRace(t *testing.T, c *cluster) {
	var mu sync.Mutex
	accepted := map[int64]int{}
	conflicts := 0
	stopWatching := c.watchVersions(t)
	var group sync.WaitGroup
	for e := range editors {
		group.Add(1)
		go func() {
			defer group.Done()
			for round := range rounds {
				limit := 100 + e*rounds + round
				number, lost := applyChange(t, c.daemons[(e+round)%len(c.daemons)], limit)
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
	want, _, err := operatorClient(t, c.daemons[0]).Get(context.Background(), booking)
	must.NoError(t, err)
	for _, d := range c.daemons {
		must.Eq(t, newest, versionAt(t, d, booking))
		text, _, err := operatorClient(t, d).Get(context.Background(), booking)
		must.NoError(t, err)
		must.Eq(t, want, text)
	}
	stopWatching()
}

// watchVersions observes the versions at all daemons until the returned function is called, which fails
// the test if a version was replaced by an older one.
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
			case <-time.After(pollPeriod):
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
		if what, isReverted := <-reverted; isReverted {
			t.Fatal(what)
		}
	}
}

// proveTableRestored restores an older state of the table. The daemons must keep the newest
// version, a restarted daemon must learn it from its peers, and the next change must get a higher number.
func proveTableRestored(t *testing.T, c *cluster) {
	c.platform.act(t, "snapshot")
	number, _ := applyChange(t, c.daemons[0], 500)
	c.awaitVersion(t, booking, number)
	stopWatching := c.watchVersions(t)
	c.platform.act(t, "restore")
	time.Sleep(observationTime)
	c.daemons[1].kill()
	c.startDaemon(t, c.daemons[1])
	c.awaitReady(t, c.daemons[1])
	c.awaitVersion(t, booking, number)
	stopWatching()
	next, _ := applyChange(t, c.daemons[1], 600)
	must.Greater(t, number, next, must.Sprint("the change after the restore"))
	c.awaitVersion(t, booking, next)
}

// proveStartWithoutTable starts a daemon while the table is down. It must get the documents from its peers.
func proveStartWithoutTable(t *testing.T, c *cluster) {
	number, _ := applyChange(t, c.daemons[0], 500)
	c.awaitVersion(t, booking, number)
	for _, outage := range []string{"refuse", "silent"} {
		c.daemons[1].kill()
		c.platform.setFaults(t, platformFaults{Table: serviceFaults{Outage: outage}})
		c.startDaemon(t, c.daemons[1])
		c.awaitReady(t, c.daemons[1])
		must.Eq(t, number, versionAt(t, c.daemons[1], booking))
		a := c.draft("a draft at a daemon that started without the table", 5).to(c.daemons[1])
		a.mustBeComplete(t, a.send(t))
		c.platform.setFaults(t, platformFaults{})
	}
}

// proveDocumentAnswerLost loses the table's answer to a change that took effect. The change must be reported as accepted.
func proveDocumentAnswerLost(t *testing.T, c *cluster) {
	for i, silently := range []bool{false, true} {
		before := versionAt(t, c.daemons[0], booking)
		text, tag, err := operatorClient(t, c.daemons[0]).Get(context.Background(), booking)
		must.NoError(t, err)
		c.platform.setFaults(t, platformFaults{Table: serviceFaults{LoseAnswers: 1, LoseSilently: silently}})
		accepted, err := operatorClient(t, c.daemons[0]).Apply(context.Background(), booking, withRateLimit(text, 700+i), tag)
		must.NoError(t, err, must.Sprintf("answer lost, silently %t", silently))
		must.Eq(t, before+1, accepted.Number)
		c.awaitVersion(t, booking, accepted.Number)
	}
}

// proveDocumentAfterPause pauses a daemon while a change is accepted. Once resumed, it must get the change.
func proveDocumentAfterPause(t *testing.T, c *cluster) {
	c.daemons[1].pause()
	number, _ := applyChange(t, c.daemons[0], 500)
	must.Positive(t, number)
	time.Sleep(3 * time.Second)
	c.daemons[1].resume()
	c.awaitVersion(t, booking, number)
}
