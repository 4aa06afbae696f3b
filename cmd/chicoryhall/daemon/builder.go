package daemon

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/engine"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/holder"
	"chicoryhall.example/chicoryhall/membership"
	"chicoryhall.example/chicoryhall/peer"
	"chicoryhall.example/chicoryhall/requests"
	"chicoryhall.example/chicoryhall/settings"
	"chicoryhall.example/chicoryhall/table"
	"chicoryhall.example/chicoryhall/timer"
)

// componentStopTimeout bounds how long a supervisor waits for one component to stop.
const componentStopTimeout = 2 * time.Second

// builder builds the components of one daemon and holds them while it runs.
type builder struct {
	settings settings.DocumentDaemon
	options  Options
	log      *event.Logger

	root       *suture.Supervisor
	base       *suture.Supervisor
	knowledge  *suture.Supervisor
	decisions  *suture.Supervisor
	interfaces *suture.Supervisor

	timer   *timer.Service
	engines *engine.Client
	// tls is nil for plain TCP.
	tls       *tls.Config
	table     *table.Client
	documents chicoryhall.Documents
	// configuration is the component behind documents. buildServing puts a filter for model versions in between.
	configuration *configuration.Documents
	endpoints     chicoryhall.Endpoints
	router        chicoryhall.Router
	node          *peer.Node
	// membership is the component behind members.
	members    chicoryhall.Members
	membership *membership.Membership
	admission  chicoryhall.Admission
	// holder is the component that replicates requests. keeper and forwarder are its two interfaces.
	keeper     chicoryhall.Replicator
	holder     *holder.Replicator
	claims     chicoryhall.Claims
	limits     requests.RateLimits
	keys       requests.IdempotencyKeys
	retries    requests.RetryBudgets
	quarantine requests.Quarantine
	forwarder  chicoryhall.RemoteRequests
	metrics    *requests.Metrics
	// peerMetrics counts the messages between daemons.
	peerMetrics *metrics.Set
	// decisionMetrics write the metrics of the components under the decisions supervisor.
	decisionMetrics []func(io.Writer)
	requests        *requests.Service

	// drains are called in order at a graceful shutdown; drainTimeout bounds all of them together.
	drains []func(ctx context.Context)
}

// step builds one component.
type step struct {
	name  string
	build func() error
}

// steps lists the components in the order of their dependencies.
func (b *builder) steps() []step {
	return []step{
		{"timer", b.buildTimer},
		{"engine client", b.buildEngines},
		{"table client", b.buildTable},
		{"documents", b.buildDocuments},
		{"peers", b.buildPeers},
		{"members", b.buildMembers},
		{"configuration", b.buildConfiguration},
		{"endpoints", b.buildEndpoints},
		{"serving", b.buildServing},
		{"placement", b.buildPlacement},
		{"router", b.buildRouter},
		{"admission", b.buildAdmission},
		{"keeper", b.buildKeeper},
		{"claims", b.buildClaims},
		{"limits", b.buildLimits},
		{"keys", b.buildKeys},
		{"retries", b.buildRetries},
		{"quarantine", b.buildQuarantine},
		{"requests", b.buildRequests},
		{"TLS", b.buildTLS},
		{"callers", b.buildCallers},
		{"operators", b.buildOperators},
	}
}

func newBuilder(own settings.DocumentDaemon, options Options, log *event.Logger) *builder {
	b := &builder{settings: own, options: options, log: log}
	b.root = b.newSupervisor("daemon")
	b.base = b.newSupervisor("base")
	b.knowledge = b.newSupervisor("knowledge")
	b.decisions = b.newSupervisor("decisions")
	b.interfaces = b.newSupervisor("interfaces")
	for _, child := range []*suture.Supervisor{b.base, b.knowledge, b.decisions, b.interfaces} {
		b.root.Add(child)
	}
	return b
}

func (b *builder) newSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: b.logSupervisorEvent, Timeout: componentStopTimeout})
}

// logSupervisorEvent logs an event of a supervisor, in most cases that a component failed and was restarted.
func (b *builder) logSupervisorEvent(e suture.Event) {
	b.log.Log(event.ComponentRestarted, "detail", e.String())
}

// drain prepares the exit of the daemon: within the drainTimeout of the settings it announces that the daemon is leaving
// and finishes the requests in progress. Then it hands the remaining ones over and announces the exit.
func (b *builder) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.DrainTimeout)
	defer cancel()
	for _, drain := range b.drains {
		drain(ctx)
	}
	b.handOver()
	b.sayGoodbye()
}
