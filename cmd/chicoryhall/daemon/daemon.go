package daemon

import (
	"context"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/settings"
)

// Options are the command line's additions to the settings file.
type Options struct {
	// Documents are files with service documents that are in force from the start.
	Documents []string
}

// Daemon is one built daemon.
type Daemon struct {
	root  *suture.Supervisor
	parts *builder
}

// New builds a daemon; nothing runs before Serve.
func New(own settings.Daemon, options Options, log *event.Logger) (*Daemon, error) {
	b := newBuilder(own, options, log)
	for _, step := range b.steps() {
		if err := step.build(); err != nil {
			return nil, errors.WithMessagef(err, "build %s", step.name)
		}
	}
	return &Daemon{root: b.root, parts: b}, nil
}

// Serve runs the daemon until ctx ends, then shuts down gracefully.
func (d *Daemon) Serve(ctx context.Context) error {
	log := d.parts.log
	log.Log(event.ProcessStarted, "daemon", d.parts.settings.ID, "callers", d.parts.settings.Listen.Callers)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := d.root.ServeBackground(running)
	select {
	case err := <-ended:
		return errors.WithMessage(err, "supervisor ended")
	case <-ctx.Done():
	}
	log.Log(event.ProcessStopping, "drainTimeout", d.parts.settings.DrainTimeout)
	d.parts.drain()
	stop()
	<-ended
	log.Log(event.ProcessStopped)
	return nil
}
