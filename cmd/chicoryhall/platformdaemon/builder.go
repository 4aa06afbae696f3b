package platformdaemon

import (
	"hash/fnv"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/admission"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/follow"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/passthrough"
	"chicoryhall.example/chicoryhall/pipeline"
	"chicoryhall.example/chicoryhall/placement"
	"chicoryhall.example/chicoryhall/platform"
	"chicoryhall.example/chicoryhall/retry"
	"chicoryhall.example/chicoryhall/routing"
	"chicoryhall.example/chicoryhall/settings"
	"chicoryhall.example/chicoryhall/timer"
	"chicoryhall.example/chicoryhall/watch"
)

// crossingCost keeps chains inside a failure domain while one there has room: the links between
// domains are shared by all prompts.
const crossingCost = 3 * time.Second

// routeSpread lets daemons that know the same choose otherwise among engines that are nearly as good.
const routeSpread = 0.25

const (
	// deafMargin is how long before the deaf timeout a hanging feed of rules is given up.
	deafMargin = 500 * time.Millisecond
	// entriesWait is how long a feed of endpoints may be held; when the feed of rules finds the store
	// lost, it is given up too.
	entriesWait = 15 * time.Second
	// entriesGather and rulesGather are the pauses behind changes of each. Calls to the store are
	// shared by all daemons, and an endpoint that leaves goes on for two seconds at least.
	entriesGather = 800 * time.Millisecond
	rulesGather   = 500 * time.Millisecond
)

// candidates is the number of daemons of a failure domain that seek its lease.
const candidates = 2

// orderTerms suit engines that refuse an order if another was accepted since they were read.
func (b *builder) orderTerms() placement.Terms {
	return placement.Terms{
		LeaseDuration: 3 * time.Second, LeaseMargin: 750 * time.Millisecond, SeekPeriod: time.Second, MaxLoads: 64,
		SingleRange: true,
		IsCandidate: b.isCandidate,
	}
}

// isCandidate tells whether this daemon is among the first live ones of its failure domain.
func (b *builder) isCandidate() bool {
	before := 0
	for _, member := range b.members.All() {
		isNeighbour := member.FailureDomain == b.settings.FailureDomain && member.State == chicoryhall.MemberAlive
		if isNeighbour && member.ID < b.settings.ID {
			before++
		}
	}
	return before < candidates
}

// builder holds the parts of one daemon while it is built and while it runs.
type builder struct {
	settings settings.Entry
	lines    *event.BoundedWriter
	log      *event.Logger
	root     *suture.Supervisor

	timer     *timer.Service
	client    *platform.Client
	store     *platform.Store
	table     *platform.Table
	members   *membership.TableMembers
	rules     *routing.Current
	listed    *watch.Listed
	entries   *follow.Follower[chicoryhall.Listing]
	documents *routing.Documents
	admission *admission.Admission
	server    *passthrough.Server
	metrics   *passthrough.Metrics
}

// build makes the parts in the order of their dependencies and puts them into the tree.
func build(own settings.Entry, out io.Writer, level log.Level) *builder {
	b := &builder{settings: own, timer: timer.New()}
	b.lines = event.NewBoundedWriter(out, b.timer)
	b.log = event.NewLogger(b.lines, "chicoryhall", level).With("daemon", own.ID)
	b.root = b.newSupervisor("daemon")
	base, knowledge := b.newSupervisor("base"), b.newSupervisor("knowledge")
	decisions, interfaces := b.newSupervisor("decisions"), b.newSupervisor("interfaces")
	for _, child := range []*suture.Supervisor{base, knowledge, decisions, interfaces} {
		b.root.Add(child)
	}
	b.buildBase(base)
	b.buildKnowledge(knowledge)
	b.buildOrders(decisions)
	b.buildInterfaces(interfaces)
	return b
}

func (b *builder) buildBase(into *suture.Supervisor) {
	into.Add(b.timer)
	into.Add(b.lines)
	b.client = platform.NewClient()
	b.store = platform.NewStore(b.client, b.settings.Store.Address)
	b.table = platform.NewTable(b.store)
}

func (b *builder) buildKnowledge(into *suture.Supervisor) {
	self := chicoryhall.Member{
		ID: b.settings.ID, Region: b.settings.Region, FailureDomain: b.settings.FailureDomain,
		CallerAddress: b.settings.Listen.Callers,
	}
	b.members = membership.NewTableMembers(self, b.table, b.timer, b.log)
	into.Add(b.members)
	b.rules = routing.NewCurrent()
	b.listed = watch.NewListed(watch.ListedConfig{
		Timer: b.timer, Daemons: b.members.Alive, Neighbours: b.members.AliveInDomain, Document: b.document, Log: b.log,
	})
	b.documents = routing.NewDocuments(b.rules, b.listed)
	b.entries = follow.New(follow.Config[chicoryhall.Listing]{
		Name: "endpoints", Source: platform.Entries(b.store, b.log), Sink: platform.ListSink{Listed: b.listed},
		Wait: entriesWait, Gather: entriesGather, Timer: b.timer, Log: b.log,
	})
	into.Add(b.entries)
	into.Add(follow.New(follow.Config[*chicoryhall.RuleSet]{
		Name: "rules", Source: platform.Rules(b.store, b.log), Sink: platform.RuleSink{Current: b.rules, Log: b.log},
		Wait: b.settings.Store.DeafTimeout - deafMargin - follow.AnswerTimeout, Gather: rulesGather, OnLost: b.entries.Verify,
		Timer: b.timer, Log: b.log,
	}))
}

// document returns a service's document without its endpoints.
func (b *builder) document(service chicoryhall.ServiceName) (*chicoryhall.Document, bool) {
	table, known := b.rules.Table()
	if !known {
		return nil, false
	}
	for _, document := range table.Set().Documents {
		if document.Service == service {
			return document, true
		}
	}
	return nil, false
}

func (b *builder) buildOrders(into *suture.Supervisor) {
	into.Add(placement.NewHolder(placement.Parts{
		Self: b.settings.ID, FailureDomain: b.settings.FailureDomain, Table: b.table,
		Documents: placement.NewRanged(b.documents, b.listed, b.timer), Engines: platform.NewEngines(b.client, b.listed),
		Timer: b.timer, Terms: b.orderTerms(), Log: b.log,
	}))
}

func (b *builder) buildInterfaces(into *suture.Supervisor) {
	b.metrics = passthrough.NewMetrics()
	b.admission = admission.New(b.timer, b.documents, b.listed, b.members)
	b.server = passthrough.NewServer(passthrough.Parts{
		Address: b.settings.Listen.Callers, FailureDomain: b.settings.FailureDomain, Timer: b.timer,
		Rules: b.rules, Documents: b.documents, Endpoints: b.listed,
		Router: pipeline.New(b.listed, pipeline.Options{
			Policy: pipeline.PolicyShortest, Seed: b.seed(), Crossing: crossingCost, Spread: routeSpread,
		}),
		Admission: b.admission,
		Retries: retry.NewWindows(retry.Terms{
			Window: b.settings.Retries.Window, Ratio: b.settings.Retries.Ratio, Slack: b.settings.Retries.Slack,
		}, b.members.Alive),
		Dialect: platform.Dialect{}, Doubt: b.entries.Verify, Metrics: b.metrics, Log: b.log,
	})
	into.Add(b.server)
	into.Add(newStatusServer(b.settings.Listen.Ready, readyPath, passthrough.ReadyHandler(b.ready)))
	into.Add(newStatusServer(b.settings.Listen.Metrics, metricsPath, b.metricsHandler()))
}

// seed makes each daemon draw its samples from a seed of its own.
func (b *builder) seed() uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(b.settings.ID)) // A hash takes every byte.
	return hash.Sum64()
}
