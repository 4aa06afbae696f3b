package platformdaemon

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"chicoryhall.example/chicoryhall/event"
	"chicoryhall.example/chicoryhall/settings"
)

const (
	// stopMargin is how long before the process is killed it ends by itself.
	stopMargin = 400 * time.Millisecond
	// goodbyeTimeout bounds the removal of the daemon's row at a stop.
	goodbyeTimeout = 300 * time.Millisecond
	// partStopTimeout bounds how long a supervisor waits for one part to end.
	partStopTimeout = time.Second
)

// Daemon is one built daemon.
type Daemon struct {
	parts *builder
}

// New builds a daemon that logs lines of a level and above to out; nothing runs before Serve.
func New(own settings.Entry, out io.Writer, level log.Level) *Daemon {
	return &Daemon{parts: build(own, out, level)}
}

// Serve runs the daemon until ctx ends, then shuts down gracefully. Each signal of reload makes it
// read the settings file at path again.
func (d *Daemon) Serve(ctx context.Context, path string, reload <-chan os.Signal) error {
	b := d.parts
	b.log.Log(event.ProcessStarted, "callers", b.settings.Listen.Callers,
		"failureDomain", b.settings.FailureDomain, "store", b.settings.Store.Address)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := b.root.ServeBackground(running)
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return errors.WithMessage(err, "supervisor ended")
		case <-reload:
			b.reload(path)
		case <-ctx.Done():
		}
	}
	b.log.Log(event.ProcessStopping, "drainTimeout", b.settings.StopTimeout)
	b.drain()
	stop()
	<-ended
	b.log.Log(event.ProcessStopped)
	b.lines.Flush()
	return nil
}

// reload reads the settings again; what the process was built with stays until it starts anew.
func (b *builder) reload(path string) {
	own, err := settings.LoadEntry(path)
	if err != nil {
		b.log.Log(event.SettingsNotReread, "path", path, "error", err)
		return
	}
	b.log.Log(event.SettingsReread, "path", path, "changed", *own != b.settings)
}

// drain finishes what is in progress, then takes the daemon's row back.
func (b *builder) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.StopTimeout-stopMargin-goodbyeTimeout)
	defer cancel()
	b.server.Drain(ctx)
	ctx, cancel = context.WithTimeout(context.Background(), goodbyeTimeout)
	defer cancel()
	b.members.Leave(ctx)
}

func (b *builder) newSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: b.report, Timeout: partStopTimeout})
}

// report logs what suture tells of a part that failed.
func (b *builder) report(happened suture.Event) {
	b.log.Log(event.ComponentRestarted, "detail", happened.String())
}
