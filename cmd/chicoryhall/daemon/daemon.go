package daemon

import (
	"context"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/settings"
)

// Options are given on the command line, in addition to the settings file.
type Options struct {
	// Documents are paths of service documents that are in force from the start.
	Documents []string
}

// Daemon is a daemon whose components are built.
type Daemon struct {
	root    *suture.Supervisor
	builder *builder
}

// New builds a daemon. Nothing runs before Serve is called.
func New(own settings.DocumentDaemon, options Options, log *event.Logger) (*Daemon, error) {
	b := newBuilder(own, options, log)
	for _, step := range b.steps() {
		if err := step.build(); err != nil {
			return nil, errors.WithMessagef(err, "build %s", step.name)
		}
	}
	return &Daemon{root: b.root, builder: b}, nil
}

// Serve runs the daemon until ctx is done, then shuts down gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	log := d.builder.log
	log.Log(event.ProcessStarted, "daemon", d.builder.settings.ID, "callers", d.builder.settings.Listen.Callers)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := d.root.ServeBackground(runCtx)
	select {
	case err := <-ended:
		return errors.WithMessage(err, "supervisor ended")
	case <-ctx.Done():
	}
	log.Log(event.ProcessStopping, "drainTimeout", d.builder.settings.DrainTimeout)
	d.builder.drain()
	stop()
	<-ended
	log.Log(event.ProcessStopped)
	return nil
}
