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

// part is a stand-in as the process runs it.
type part interface {
	suture.Service
	control.Target
	// Start begins to listen.
	Start() error
	// Drain finishes what is in progress or returns when ctx ends.
	Drain(ctx context.Context)
	// Stop closes all connections.
	Stop()
}

// process runs one stand-in until it is asked to stop.
type process struct {
	program string
	control string
	drain   time.Duration
	build   func(clock *timer.Service, log *event.Logger) (part, error)
}

// run serves until ctx ends and then drains.
func (p *process) run(ctx context.Context, streams command.Streams) error {
	logging.SetLevel(logging.LevelError)
	logger := newLogger(streams.Err, p.program)
	clock := timer.New()
	standin, err := p.build(clock, logger)
	if err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	supervisor := suture.New("chicorystand", suture.Spec{EventHook: func(e suture.Event) {
		logger.Log(event.ComponentRestarted, "error", e.String())
	}})
	supervisor.Add(clock)
	supervisor.Add(standin)
	ended := supervisor.ServeBackground(serving)
	if err := standin.Start(); err != nil {
		return err
	}
	defer standin.Stop()
	if err := p.serveControl(standin); err != nil {
		return err
	}
	logger.Log(event.ProcessStarted)
	<-ctx.Done()
	logger.Log(event.ProcessStopping)
	draining, cancel := context.WithTimeout(context.Background(), p.drain)
	defer cancel()
	standin.Drain(draining)
	stop()
	<-ended
	logger.Log(event.ProcessStopped)
	return nil
}

// serveControl opens the control endpoint for the rest of the process's life.
func (p *process) serveControl(target control.Target) error {
	if p.control == "" {
		return nil
	}
	return control.New(p.control, target).Start()
}

func newLogger(w io.Writer, program string) *event.Logger {
	return event.NewLogger(w, program, log.InfoLevel)
}

// readSettings reads a YAML file strictly; its errors name the file, line and column.
func readSettings(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the settings")
	}
	if err := yaml.UnmarshalWithOptions(text, into, yaml.Strict()); err != nil {
		return errors.Wrapf(err, "settings %s", path)
	}
	return nil
}
