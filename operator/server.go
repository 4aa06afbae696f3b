package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/event"
)

// The limits of the operator API.
const (
	maxHeaderBytes = 16 << 10
	// maxBodyBytes exceeds document.MaxBytes, so that documents up to this size are refused with an explanation.
	maxBodyBytes   = 2 * document.MaxBytes
	idleTimeout    = 30 * time.Second // of connections
	maxConnections = 1000
	pollers        = 1
	callTimeout    = 10 * time.Second // for all calls to the table and to other daemons that one request needs
)

// Documents provides the service documents. The newest version of a service that this daemon knows is the one in force
// on it. Version returns it with its text, Current, of chicoryhall.Documents, as a parsed document.
type Documents interface {
	chicoryhall.Documents
	// Version returns the newest version of a service with its text.
	Version(service chicoryhall.ServiceName) (configuration.Version, bool)
	// Versions returns all services' newest versions.
	Versions() []configuration.Version
	// Publish makes a text the newest version if it is based on the newest one.
	Publish(ctx context.Context, proposal configuration.Proposal) (configuration.Version, error)
	// History returns all versions of a service, oldest first.
	History(ctx context.Context, service chicoryhall.ServiceName) ([]configuration.Version, error)
	// Status asks every known daemon for the versions that it has in force.
	Status(ctx context.Context) []configuration.DaemonStatus
}

// Config configures a Server. TLS is nil for plain TCP.
type Config struct {
	Address   string
	TLS       *tls.Config
	Documents Documents
	Tokens    *Tokens
	Log       *event.Logger
	// CurrentRate returns an organisation's current rate of requests per second at a service. If it is nil, changes
	// are accepted without a warning about organisations above their new limit.
	CurrentRate func(service chicoryhall.ServiceName, organisation chicoryhall.Organisation) float64
}

// Server serves the operator API.
type Server struct {
	config Config
}

// NewServer returns a Server that listens while Serve runs.
func NewServer(config Config) *Server {
	return &Server{config: config}
}

// String returns the component's name for the supervisor's log lines.
func (s *Server) String() string { return "operator API" }

// Serve answers operators until ctx is done.
func (s *Server) Serve(ctx context.Context) error {
	logging.SetLevel(logging.LevelNone) // silences nbio
	engineConfig := nbhttp.Config{
		Name: "operators", Network: "tcp", NPoller: pollers, MaxLoad: maxConnections,
		ReadLimit: maxBodyBytes + maxHeaderBytes, MaxHTTPBodySize: maxBodyBytes, KeepaliveTime: idleTimeout,
		Handler: s.Handler(), SupportServerOnly: true,
	}
	if s.config.TLS == nil {
		engineConfig.Addrs = []string{s.config.Address}
	} else {
		engineConfig.AddrsTLS, engineConfig.TLSConfig = []string{s.config.Address}, s.config.TLS
	}
	engine := nbhttp.NewEngine(engineConfig)
	if err := engine.Start(); err != nil {
		return errors.WithMessagef(err, "listen on operator address %s", s.config.Address)
	}
	s.config.Log.Log(event.OperatorsListening, "address", s.config.Address, "tls", s.config.TLS != nil)
	<-ctx.Done()
	engine.Stop()
	return ctx.Err()
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /v1/documents", s.authenticated(s.list))
	mux.HandleFunc("GET /v1/documents/{service}", s.authenticated(s.get))
	mux.HandleFunc("PUT /v1/documents/{service}", s.authenticated(s.put))
	mux.HandleFunc("POST /v1/documents/{service}/check", s.authenticated(s.check))
	mux.HandleFunc("GET /v1/documents/{service}/history", s.authenticated(s.history))
	mux.HandleFunc("GET /v1/documents/{service}/history/{number}", s.authenticated(s.historyText))
	mux.HandleFunc("GET /v1/documents/{service}/status", s.authenticated(s.status))
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // Cannot happen: all messages of this package can be encoded.
	}
	w.Header().Set("Content-Type", mediaTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // A write fails only if the operator has disconnected.
}

// refuse logs the refusal and answers with the Problem.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, problem *Problem) {
	s.config.Log.Log(event.OperatorRequestRefused, "operator", r.RemoteAddr, "method", r.Method, "path", r.URL.Path,
		"status", problem.Status, "detail", problem.Detail)
	problem.Title = http.StatusText(problem.Status)
	text, err := json.Marshal(problem)
	if err != nil {
		panic(err) // Cannot happen: every Problem can be encoded.
	}
	w.Header().Set("Content-Type", mediaTypeProblem)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(problem.Status)
	_, _ = w.Write(text)
}
