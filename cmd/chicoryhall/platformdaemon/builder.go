package platformdaemon

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/admission"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/follow"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/memory"
	"chicoryhall.example/chicoryhall/neighbour"
	"chicoryhall.example/chicoryhall/pace"
	"chicoryhall.example/chicoryhall/passthrough"
	"chicoryhall.example/chicoryhall/pipeline"
	"chicoryhall.example/chicoryhall/placement"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/quarantine"
	"chicoryhall.example/chicoryhall/relay"
	"chicoryhall.example/chicoryhall/retry"
	"chicoryhall.example/chicoryhall/routing"
	"chicoryhall.example/chicoryhall/settings"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/timer"
	"chicoryhall.example/chicoryhall/watch"
)

// crossingCost is added to the expected time of a link between engines of different failure domains. As all prompts
// share the links between domains, it is high enough to keep routes inside one domain while that domain has capacity.
const crossingCost = 3 * time.Second

// routeSpread is the largest fraction by which each daemon, depending on its seed, overestimates the time of an engine.
// It makes daemons with the same view choose different engines among those that are nearly equally fast.
const routeSpread = 0.25

const (
	// hangMargin is the difference between the time within which a lost answer must be noticed and the time after which a call
	// for changes is given up. In it, the whole table is read.
	hangMargin = 500 * time.Millisecond
	// leaveTime is how long an endpoint at least serves on after the news that it is leaving. Such news may thus come that much
	// later than those of rules and alerts, which bind at once.
	leaveTime = 2 * time.Second
	// endpointsPause, rulesPause and alertsPause are the pauses after changes, which reduce the number of calls to the store, as
	// all daemons share it. A pause delays the news that an endpoint is leaving, but is short against leaveTime.
	endpointsPause = 800 * time.Millisecond
	rulesPause     = 500 * time.Millisecond
	alertsPause    = 1500 * time.Millisecond
	// alertsBackoff is the longest pause after a failure to read alerts. It is longer than for other tables, as nobody can write
	// alerts while the store is down, and short enough for a read that hangs and a pause to end within a HangTimeout.
	alertsBackoff = 800 * time.Millisecond
	// daemonRowRetention is the time after which a daemon's row is removed that has not changed. A daemon keeps its report
	// of a convicted request unchanged for as long as the conviction lasts.
	daemonRowRetention = quarantine.ConvictionLifetime + 15*time.Minute
)

// maxAgeDivisor gives the age from which on a copy of a table is not used: that part of the HangTimeout, within which a store that
// does not answer must be noticed.
const maxAgeDivisor = 2

// preferredDaemons is the number of daemons of a failure domain that compete for its lease.
const preferredDaemons = 2

// placementOptions returns the options for placement on the platform, where an engine holds a single range of layers and
// refuses an order if it has accepted another one since its state was read.
func (b *builder) placementOptions() placement.Options {
	return placement.Options{
		LeaseDuration: 3 * time.Second, LeaseMargin: 750 * time.Millisecond, LeaseCheckPeriod: time.Second, MaxConcurrentLoads: 64,
		SingleRange: true,
		IsPreferred: b.isPreferred,
	}
}

// isPreferred reports whether this daemon is among the first preferredDaemons alive daemons of its failure domain by ID.
func (b *builder) isPreferred() bool {
	preceding := 0
	for _, member := range b.members.Others() {
		inDomain := member.FailureDomain == b.settings.FailureDomain && member.State == chicoryhall.MemberAlive
		if inDomain && member.ID < b.settings.ID {
			preceding++
		}
	}
	return preceding < preferredDaemons
}

// builder builds the components of one daemon and holds them while it runs.
type builder struct {
	settings  settings.PlatformDaemon
	logWriter *event.BoundedWriter
	log       *event.Logger
	root      *suture.Supervisor

	timer      *timer.Service
	client     *platform.Client
	store      *platform.Store
	storeTable *platform.Table
	// cachedStore and table are what components read and write the store with; neighbours may stand for it in reads.
	copies        *neighbour.Copies
	cachedStore   *neighbour.CachedStore
	table         chicoryhall.Table
	neighbours    *neighbours
	retries       *retry.SlidingBudgets
	members       *membership.TableMembers
	rules         *routing.CurrentRules
	endpoints     *watch.ListedEndpoints
	endpointsFeed *follow.Follower[chicoryhall.Listing]
	documents     *routing.Documents
	admission     *admission.Controller
	server        *passthrough.Server
	metrics       *passthrough.Metrics
	crashMetrics  *metrics.Set
	quarantine    *quarantineService
	limits        *pace.Limiter
	memory        *memory.Budget
	account       *memory.Account
	relays        *relays
}

// build constructs the components in the order of their dependencies and adds them to the tree of supervisors.
func build(own settings.PlatformDaemon, out io.Writer, level log.Level) *builder {
	b := &builder{settings: own, timer: timer.New()}
	b.logWriter = event.NewBoundedWriter(out, b.timer)
	b.log = event.NewLogger(b.logWriter, "chicoryhall", level).With("daemon", own.ID)
	b.root = b.newSupervisor("daemon")
	base, knowledge := b.newSupervisor("base"), b.newSupervisor("knowledge")
	decisions, interfaces := b.newSupervisor("decisions"), b.newSupervisor("interfaces")
	for _, child := range []*suture.Supervisor{base, knowledge, decisions, interfaces} {
		b.root.Add(child)
	}
	b.buildBase(base)
	b.buildKnowledge(knowledge)
	b.buildPlacement(decisions)
	b.buildQuarantine(decisions)
	b.buildInterfaces(interfaces)
	return b
}

func (b *builder) buildBase(supervisor *suture.Supervisor) {
	supervisor.Add(b.timer)
	supervisor.Add(b.logWriter)
	b.client = platform.NewClient()
	b.store = platform.NewStore(b.client, b.settings.Store.Address)
	b.storeTable = platform.NewTable(b.store)
	b.copies = neighbour.NewCopies()
	b.cachedStore = neighbour.NewCachedStore(neighbour.CachedStoreConfig{
		Store: b.store, Copies: b.copies, MaxAge: b.settings.Store.HangTimeout / maxAgeDivisor, Timer: b.timer,
	})
	b.table = neighbour.NewSharedTable(b.storeTable, sharedRows, b.askNeighbour)
}

func (b *builder) buildKnowledge(supervisor *suture.Supervisor) {
	self := chicoryhall.Member{
		ID: b.settings.ID, Region: b.settings.Region, FailureDomain: b.settings.FailureDomain,
		CallerAddress: b.settings.Listen.Callers, PeerAddress: b.settings.Listen.Peers, CPUShare: b.settings.CPUShare,
	}
	if self.PeerAddress != "" {
		self.PeerKey = rand.Text()
	}
	if address, err := b.settings.Listen.NeighbourAddress(); err == nil && self.PeerKey != "" {
		self.NeighbourAddress = address
	}
	b.members = membership.NewTableMembers(self, b.table, b.timer, b.log)
	b.store.SubscribeRestored(b.members.Restored)
	supervisor.Add(b.members)
	b.rules = routing.NewCurrentRules()
	b.endpoints = watch.NewListedEndpoints(watch.ListedConfig{
		Timer: b.timer, FailureDomain: b.settings.FailureDomain, Daemons: b.members.Alive, DomainDaemons: b.members.AliveInDomain, Document: b.document,
		Pacing: b.settings.Pacing, Log: b.log,
	})
	b.store.SubscribeRestored(b.endpoints.Restored)
	b.retries = retry.NewSlidingBudgets(retry.SlidingLimits{
		Window: b.settings.Retries.Window, Ratio: b.settings.Retries.Ratio, Slack: b.settings.Retries.Slack,
	}, b.timer.Now(), b.members.Alive)
	b.retries.SetCountKnown(b.members.Known)
	b.buildNeighbours(supervisor)
	b.documents = routing.NewDocuments(b.rules, b.endpoints)
	hangTimeout := b.settings.Store.HangTimeout
	b.endpointsFeed = follow.New(follow.Config[chicoryhall.Listing]{
		Name: "endpoints", Source: platform.NewListingSource(b.cachedStore, b.log), Sink: platform.ListingSink{ListedEndpoints: b.endpoints},
		MaxWait: changesWait(hangTimeout + leaveTime), BatchDelay: b.pauseOf(endpointsPause), Timer: b.timer, Log: b.log,
	})
	b.addFollower(supervisor, b.endpointsFeed)
	b.addFollower(supervisor, follow.New(follow.Config[*chicoryhall.RuleSet]{
		Name: "rules", Source: platform.NewRuleSource(b.cachedStore, b.log), Sink: platform.RuleSink{Current: b.rules, Log: b.log},
		MaxWait: changesWait(hangTimeout), BatchDelay: b.pauseOf(rulesPause), Timer: b.timer, Log: b.log,
	}))
}

// changesWait returns how long the store may wait for changes of a table before it answers, if a lost answer must be noticed within a
// time.
func changesWait(noticed time.Duration) time.Duration {
	return noticed - hangMargin - follow.AnswerMargin
}

// follower is a service that keeps a copy of a table of the store.
type follower interface {
	suture.Service
	Distrust()
}

// addFollower adds a follower, which distrusts its calls to the store once any other one has failed.
func (b *builder) addFollower(supervisor *suture.Supervisor, added follower) {
	supervisor.Add(added)
	b.store.SubscribeFailed(added.Distrust)
}

// pauseOf returns the function for the pause after changes of a table.
func (b *builder) pauseOf(usual time.Duration) func() time.Duration {
	return func() time.Duration { return b.cachedStore.Pause(usual) }
}

// askNeighbour asks the neighbour that this daemon follows, if there is one, for shared rows.
func (b *builder) askNeighbour(ctx context.Context, rows neighbour.SharedRows) ([]table.Row, bool) {
	if b.neighbours == nil {
		return nil, false
	}
	return b.neighbours.askRows(ctx, rows)
}

// buildNeighbours adds the exchange with the other daemons of the failure domain, if the settings name an address for it.
func (b *builder) buildNeighbours(supervisor *suture.Supervisor) {
	if b.members.Self().NeighbourAddress == "" {
		return
	}
	b.neighbours = newNeighbours(neighboursConfig{
		members: b.members, timer: b.timer, store: b.cachedStore, copies: b.copies, rows: neighbour.NewRowCache(b.storeTable, b.timer),
		endpoints: b.endpoints, retries: b.retries, observeEra: b.store.ObserveEra, log: b.log,
	})
	supervisor.Add(b.neighbours)
}

// document returns a service's document from the current rules. Unlike the documents of "chicoryhall serve", it does not
// list the service's endpoints, which have rows of their own in the store.
func (b *builder) document(service chicoryhall.ServiceName) (*chicoryhall.Document, bool) {
	table, known := b.rules.Table()
	if !known {
		return nil, false
	}
	for _, document := range table.RuleSet().Documents {
		if document.Service == service {
			return document, true
		}
	}
	return nil, false
}

func (b *builder) buildPlacement(supervisor *suture.Supervisor) {
	supervisor.Add(placement.NewController(placement.ControllerConfig{
		Self: b.settings.ID, FailureDomain: b.settings.FailureDomain, Table: b.table,
		Documents: placement.NewPlannedDocuments(b.documents, b.endpoints, b.timer, b.members.SettledInDomain), Client: platform.NewEngines(b.client, b.endpoints),
		Timer: b.timer, Options: b.placementOptions(), Log: b.log,
	}))
}

// buildQuarantine adds the components that stop requests that crash endpoints.
func (b *builder) buildQuarantine(supervisor *suture.Supervisor) {
	b.crashMetrics = metrics.NewSet()
	crashes := newCrashes(b.timer, b.endpoints, b.crashMetrics, b.log)
	crashes.probeAddress = newEndpointProbe(net.ParseIP(b.settings.SourceIP))
	evidence := quarantine.NewEvidence(b.settings.ID)
	reports := newCrashReports(b.settings.ID, b.timer, b.table, evidence, b.log)
	trials := newTrials(b.settings.ID, b.timer, b.table, b.log)
	b.store.SubscribeRestored(reports.onRestored)
	b.store.SubscribeRestored(trials.onRestored)
	b.quarantine = newQuarantineService(evidence, crashes, reports, trials, b.timer, b.log)
	sweeper := &rowSweeper{table: b.table, timer: b.timer, log: b.log}
	sweeper.add(reportPrefix, daemonRowRetention)
	sweeper.add(platform.AlertPrefix, daemonRowRetention)
	sweeper.add(quarantine.ReservationPrefix, quarantine.InvolvementLifetime)
	supervisor.Add(crashes)
	supervisor.Add(reports)
	supervisor.Add(b.quarantine)
	supervisor.Add(sweeper)
	b.addFollower(supervisor, follow.New(follow.Config[platform.Alert]{
		Name: "alerts", Source: platform.NewAlertSource(b.cachedStore, b.log),
		Sink:    &platform.AlertSink{Self: b.settings.ID, OnAlert: reports.onAlert},
		MaxWait: changesWait(b.settings.Store.HangTimeout), BatchDelay: b.pauseOf(alertsPause), MaxBackoff: alertsBackoff, Timer: b.timer, Log: b.log,
	}))
}

func (b *builder) buildInterfaces(supervisor *suture.Supervisor) {
	b.metrics = passthrough.NewMetrics()
	b.limits = pace.New(pace.NewShares(b.members), b.endpoints, b.log)
	guests := relay.NewGuests(b.members, b.timer)
	b.relays = newRelays(b.members.Self(), b.timer, b.endpoints, guests, b.log, newEndpointProbe(net.ParseIP(b.settings.SourceIP)))
	supervisor.Add(b.relays)
	b.admission = admission.New(b.timer, b.documents, b.endpoints, guests)
	b.memory, b.account = b.requestMemory()
	reroutes := newReroutes(platform.NewEngines(b.client, b.endpoints))
	supervisor.Add(reroutes)
	b.server = passthrough.NewServer(passthrough.Config{
		Address: b.settings.Listen.Callers, FailureDomain: b.settings.FailureDomain, SourceIP: net.ParseIP(b.settings.SourceIP), Timer: b.timer,
		Rules: b.rules, Documents: b.documents, Endpoints: b.endpoints,
		Router: pipeline.New(b.endpoints, pipeline.Options{
			Policy: pipeline.PolicyShortest, Seed: b.seed(), CrossDomainCost: crossingCost, HomeFirst: b.endpoints.KnowsLoad, MaxBias: routeSpread,
		}),
		Rerouter:  reroutes,
		Admission: b.admission,
		Retries:   b.retries,
		Limits:    b.limits,
		Relays:    b.relays, PeerAddress: b.settings.Listen.Peers,
		Quarantine: b.quarantine,
		Dialect:    platform.Dialect{}, OnStaleView: b.endpointsFeed.Refresh, Memory: b.memory, Account: b.account, Descriptors: b.descriptors(), Metrics: b.metrics, Log: b.log,
	})
	supervisor.Add(b.server)
	supervisor.Add(newStatusServer(b.settings.Listen.Ready, readyPath, passthrough.ReadyHandler(b.ready)))
	supervisor.Add(newStatusServer(b.settings.Listen.Metrics, metricsPath, b.metricsHandler()))
}

// seed returns a random seed derived from the daemon's ID, so that daemons choose routes differently.
func (b *builder) seed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(b.settings.ID)) // Writing to a hash never fails.
	return hash.Sum64()
}
