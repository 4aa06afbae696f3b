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

// The limits of the operators' interface.
const (
	maxHeaderBytes = 16 << 10
	// maxBodyBytes exceeds document.MaxBytes, so that a text a little too long gets an answer that says so.
	maxBodyBytes   = 2 * document.MaxBytes
	readTimeout    = 30 * time.Second
	maxConnections = 1000
	pollers        = 1
	callTimeout    = 10 * time.Second
)

// Documents is what the interface needs of the configuration.
type Documents interface {
	chicoryhall.Documents
	// Version returns the newest version of a service with its text.
	Version(service chicoryhall.ServiceName) (configuration.Version, bool)
	// Versions returns all services' newest versions.
	Versions() []configuration.Version
	// Publish accepts a change against the version that was read.
	Publish(ctx context.Context, proposal configuration.Proposal) (configuration.Version, error)
	// History returns all versions of a service, oldest first.
	History(ctx context.Context, service chicoryhall.ServiceName) ([]configuration.Version, error)
	// Status asks every known daemon for the versions that it has in force.
	Status(ctx context.Context) []configuration.DaemonStatus
}

// Parts are what a Server needs; TLS is nil for plain TCP.
type Parts struct {
	Address   string
	TLS       *tls.Config
	Documents Documents
	Tokens    *Tokens
	Log       *event.Logger
	// Use returns an organisation's present requests a second at a service, or is nil.
	Use func(service chicoryhall.ServiceName, organisation chicoryhall.Organisation) float64
}

// Server is the operators' interface.
type Server struct {
	parts Parts
}

// NewServer returns a Server that listens once Serve runs.
func NewServer(parts Parts) *Server {
	return &Server{parts: parts}
}

// String names the part in the supervisor's reports.
func (s *Server) String() string { return "operators' interface" }

// Serve answers operators until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	logging.SetLevel(logging.LevelNone)
	config := nbhttp.Config{
		Name: "operators", Network: "tcp", NPoller: pollers, MaxLoad: maxConnections,
		ReadLimit: maxBodyBytes + maxHeaderBytes, MaxHTTPBodySize: maxBodyBytes, KeepaliveTime: readTimeout,
		Handler: s.Handler(), SupportServerOnly: true,
	}
	if s.parts.TLS == nil {
		config.Addrs = []string{s.parts.Address}
	} else {
		config.AddrsTLS, config.TLSConfig = []string{s.parts.Address}, s.parts.TLS
	}
	loop := nbhttp.NewEngine(config)
	if err := loop.Start(); err != nil {
		return errors.WithMessagef(err, "listen for operators at %s", s.parts.Address)
	}
	s.parts.Log.Log(event.OperatorsListening, "address", s.parts.Address, "tls", s.parts.TLS != nil)
	<-ctx.Done()
	loop.Stop()
	return ctx.Err()
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /v1/documents", s.authorized(s.list))
	mux.HandleFunc("GET /v1/documents/{service}", s.authorized(s.get))
	mux.HandleFunc("PUT /v1/documents/{service}", s.authorized(s.put))
	mux.HandleFunc("POST /v1/documents/{service}/check", s.authorized(s.check))
	mux.HandleFunc("GET /v1/documents/{service}/history", s.authorized(s.history))
	mux.HandleFunc("GET /v1/documents/{service}/history/{number}", s.authorized(s.historyText))
	mux.HandleFunc("GET /v1/documents/{service}/status", s.authorized(s.status))
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // The messages of this package always encode.
	}
	w.Header().Set("Content-Type", mediaTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text) // A gone operator needs no answer.
}

// refuse answers with a Problem.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, problem *Problem) {
	s.parts.Log.Log(event.OperatorRequestRefused, "operator", r.RemoteAddr, "method", r.Method, "path", r.URL.Path,
		"status", problem.Status, "detail", problem.Detail)
	problem.Title = http.StatusText(problem.Status)
	text, err := json.Marshal(problem)
	if err != nil {
		panic(err) // A Problem always encodes.
	}
	w.Header().Set("Content-Type", mediaTypeProblem)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(problem.Status)
	_, _ = w.Write(text)
}
