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

// standin is a stand-in that a process can run. The supervisor runs its Serve.
type standin interface {
	suture.Service
	control.Controllable
	// Start starts listening.
	Start() error
	// Drain finishes the requests in progress, if the stand-in has any. It returns earlier if ctx is done.
	Drain(ctx context.Context)
	// Stop closes all connections.
	Stop()
}

// process runs a stand-in until it is asked to stop.
type process struct {
	name         string        // in log lines: the command and the stand-in's ID
	control      string        // address of the control endpoint, or empty for none
	drainTimeout time.Duration // of Drain; 0 for the stand-ins whose Drain does nothing
	build        func(clock *timer.Service, log *event.Logger) (standin, error)
}

// run runs the stand-in until ctx is done, and then drains and stops it. The timer and the stand-in's Serve are started
// before Start, so that they are running when the first connection arrives.
func (p *process) run(ctx context.Context, streams command.Streams) error {
	logging.SetLevel(logging.LevelError) // nbio's own log; by default it reports each start and stop
	logger := newLogger(streams.Err, p.name)
	clock := timer.New()
	instance, err := p.build(clock, logger)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	supervisor := suture.New("chicorystand", suture.Spec{EventHook: func(e suture.Event) {
		logger.Log(event.ComponentRestarted, "error", e.String())
	}})
	supervisor.Add(clock)
	supervisor.Add(instance)
	supervisorDone := supervisor.ServeBackground(runCtx)
	if err := instance.Start(); err != nil {
		return err
	}
	defer instance.Stop()
	if err := p.startControl(instance); err != nil {
		return err
	}
	logger.Log(event.ProcessStarted)
	<-ctx.Done()
	logger.Log(event.ProcessStopping)
	drainCtx, cancel := context.WithTimeout(context.Background(), p.drainTimeout)
	defer cancel()
	instance.Drain(drainCtx)
	stop()
	<-supervisorDone
	logger.Log(event.ProcessStopped)
	return nil
}

// startControl starts the control endpoint, if it has an address. It is never stopped, so it works until the process
// exits, also during the drain.
func (p *process) startControl(instance control.Controllable) error {
	if p.control == "" {
		return nil
	}
	return control.New(p.control, instance).Start()
}

func newLogger(w io.Writer, name string) *event.Logger {
	return event.NewLogger(w, name, log.InfoLevel)
}

// readSettingsFile reads a YAML file and refuses unknown keys. An error in the text names the file, line and column.
func readSettingsFile(path string, settings any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if err := yaml.UnmarshalWithOptions(text, settings, yaml.Strict()); err != nil {
		return errors.Wrapf(err, "decode settings %s", path)
	}
	return nil
}
