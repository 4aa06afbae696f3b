package entry

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/goccy/go-yaml"
	"github.com/lesismal/nbio/logging"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/control"
	"chicoryhall.example/chicoryhall/command"
	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/timer"
)

// standin is a stand-in that a process can run.
type standin interface {
	suture.Service
	control.Controllable
	// Start starts listening.
	Start() error
	// Drain finishes the work in progress. It returns earlier if ctx is done.
	Drain(ctx context.Context)
	// Stop closes all connections.
	Stop()
}

// process runs a stand-in until it is asked to stop.
type process struct {
	program string
	control string        // address of the control endpoint, or empty
	drain   time.Duration // bounds the drain at shutdown
	build   func(clock *timer.Service, log *event.Logger) (standin, error)
}

// run runs the stand-in until ctx is done, and then drains and stops it.
func (p *process) run(ctx context.Context, streams command.Streams) error {
	logging.SetLevel(logging.LevelError)
	logger := newLogger(streams.Err, p.program)
	clock := timer.New()
	target, err := p.build(clock, logger)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	supervisor := suture.New("chicorystand", suture.Spec{EventHook: func(e suture.Event) {
		logger.Log(event.ComponentRestarted, "error", e.String())
	}})
	supervisor.Add(clock)
	supervisor.Add(target)
	ended := supervisor.ServeBackground(runCtx)
	if err := target.Start(); err != nil {
		return err
	}
	defer target.Stop()
	if err := p.serveControl(target); err != nil {
		return err
	}
	logger.Log(event.ProcessStarted)
	<-ctx.Done()
	logger.Log(event.ProcessStopping)
	drainCtx, cancel := context.WithTimeout(context.Background(), p.drain)
	defer cancel()
	target.Drain(drainCtx)
	stop()
	<-ended
	logger.Log(event.ProcessStopped)
	return nil
}

// serveControl opens the control endpoint, which stays open until the process exits.
func (p *process) serveControl(target control.Controllable) error {
	if p.control == "" {
		return nil
	}
	return control.New(p.control, target).Start()
}

func newLogger(w io.Writer, program string) *event.Logger {
	return event.NewLogger(w, program, log.InfoLevel)
}

// readSettings reads a YAML file and refuses unknown keys. Errors name the file, line and column.
func readSettings(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if err := yaml.UnmarshalWithOptions(text, into, yaml.Strict()); err != nil {
		return errors.Wrapf(err, "settings %s", path)
	}
	return nil
}
