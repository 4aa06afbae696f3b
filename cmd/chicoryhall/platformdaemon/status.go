package platformdaemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/concurrency"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/eventloop"
	"chicoryhall.example/chicoryhall/memory"
)

// The paths of the readiness check and the metrics.
const (
	readyPath   = "/-/ready"
	metricsPath = "/metrics"
)

// maxDescriptors bounds the file descriptors for which a status server keeps room.
const maxDescriptors = 8192

// statusServer serves one path on an address of its own.
type statusServer struct {
	address string
	path    string
	handler http.Handler
}

func newStatusServer(address, path string, handler http.Handler) *statusServer {
	return &statusServer{address: address, path: path, handler: handler}
}

// String returns the component's name for the supervisor's log lines.
func (s *statusServer) String() string { return "status at " + s.path }

// configureLoops sets what package nbio has for all event loops of the process: no log of its own, and no more room for connections than
// the process has file descriptors.
var configureLoops = sync.OnceFunc(func() {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = maxDescriptors
})

// Serve serves the path until ctx is done.
func (s *statusServer) Serve(ctx context.Context) error {
	configureLoops()
	mux := http.NewServeMux()
	mux.Handle(s.path, s.handler)
	engine := nbhttp.NewEngine(nbhttp.Config{
		Name: s.path, Network: "tcp", Addrs: []string{s.address}, NPoller: 1, Handler: mux, SupportServerOnly: true,
		MessageHandlerPoolSize: 1,
	})
	loop := eventloop.New(engine.Engine)
	if err := engine.Start(); err != nil {
		return errors.WithMessagef(err, "listen for %s at %s", s.path, s.address)
	}
	<-ctx.Done()
	loop.Stop(engine.Stop)
	return ctx.Err()
}

// ready returns the reason why the platform should not send callers to this daemon, or nil.
func (b *builder) ready() error {
	if b.server.IsDraining() {
		return errors.New("the daemon is stopping")
	}
	if _, known := b.rules.Table(); !known {
		return errors.New("no rules are known yet")
	}
	if len(b.endpoints.Listings()) == 0 {
		return errors.New("no endpoints are known yet")
	}
	return nil
}

// writeMetrics writes the metrics of all components.
func (b *builder) writeMetrics(w io.Writer) {
	b.metrics.Write(w)
	b.crashMetrics.WritePrometheus(w)
	b.quarantine.writeMetrics(w)
	b.relays.writeMetrics(w)
	b.store.WriteMetrics(w)
	if b.neighbours != nil {
		b.neighbours.writeMetrics(w)
	}
	metrics.WriteGaugeUint64(w, "chicoryhall_limited_endpoints", uint64(b.limits.Count()))
	b.writePacing(w)
	metrics.WriteGaugeUint64(w, "chicoryhall_paused_endpoints", uint64(b.endpoints.PausedCount()))
	metrics.WriteCounterUint64(w, "chicoryhall_log_lines_dropped_total", uint64(b.logWriter.Dropped()))
	metrics.WriteGaugeUint64(w, "chicoryhall_request_bytes", uint64(b.memory.Held()))
	for _, cause := range memory.CauseValues() {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("chicoryhall_held_bytes{cause=%q}", cause), uint64(b.account.Held(cause)))
	}
	metrics.WriteGaugeUint64(w, "chicoryhall_daemons_alive", uint64(b.members.Alive()))
	version := int64(0)
	if table, known := b.rules.Table(); known {
		version = table.Version()
	}
	metrics.WriteGaugeUint64(w, "chicoryhall_rules_version", uint64(version))
	counts := make(map[chicoryhall.EndpointState]uint64)
	for _, listing := range b.endpoints.Listings() {
		counts[b.endpoints.View(listing.ID).State]++
	}
	for _, state := range chicoryhall.EndpointStateValues() {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("chicoryhall_endpoints{state=%q}", state), counts[state])
	}
	for _, stats := range b.admission.Stats() {
		name := string(stats.Service)
		metrics.WriteGaugeUint64(w, fmt.Sprintf("chicoryhall_admission_limit{service=%q}", name), uint64(stats.Limit))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("chicoryhall_admission_running{service=%q}", name), uint64(stats.Running))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("chicoryhall_admission_waiting{service=%q}", name), uint64(stats.Waiting))
	}
	metrics.WriteProcessMetrics(w)
}

// writePacing writes the metrics of the concurrency limits.
func (b *builder) writePacing(w io.Writer) {
	stats := b.endpoints.ConcurrencyStats()
	metrics.WriteGaugeUint64(w, "chicoryhall_endpoints_below_slots", uint64(stats.Limited))
	metrics.WriteGaugeFloat64(w, "chicoryhall_lowest_endpoint_limit", stats.Lowest)
	for _, cause := range concurrency.CauseValues() {
		metrics.WriteCounterUint64(w, fmt.Sprintf("chicoryhall_endpoint_limit_falls_total{cause=%q}", cause), stats.Falls[cause])
	}
}

func (b *builder) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var page bytes.Buffer
		b.writeMetrics(&page)
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		w.Header().Set("Content-Length", strconv.Itoa(page.Len()))
		if _, err := w.Write(page.Bytes()); err != nil {
			b.log.Log(event.CallerRefused, "caller", "metrics", "detail", err) // the page was not received completely
		}
	})
}
