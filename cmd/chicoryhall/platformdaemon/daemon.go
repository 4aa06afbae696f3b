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
	// stopMargin is reserved for the exit itself: the platform kills the process after the stopTimeout of the settings, and
	// the daemon exits this much earlier.
	stopMargin = 400 * time.Millisecond
	// leaveTimeout bounds the removal of the daemon's row from the store at shutdown.
	leaveTimeout = 300 * time.Millisecond
	// componentStopTimeout bounds how long a supervisor waits for one component to stop.
	componentStopTimeout = time.Second
)

// Daemon is a daemon whose components are built.
type Daemon struct {
	builder *builder
}

// New builds a daemon that logs events of the given level and above to out. Nothing runs before Serve is called.
func New(own settings.PlatformDaemon, out io.Writer, level log.Level) *Daemon {
	return &Daemon{builder: build(own, out, level)}
}

// Serve runs the daemon until ctx is done, then shuts down gracefully. On each signal on hangUp, it checks
// the settings file at path without applying it.
func (d *Daemon) Serve(ctx context.Context, path string, hangUp <-chan os.Signal) error {
	b := d.builder
	b.log.Log(event.ProcessStarted, "callers", b.settings.Listen.Callers,
		"failureDomain", b.settings.FailureDomain, "store", b.settings.Store.Address)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := b.root.ServeBackground(runCtx)
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return errors.WithMessage(err, "supervisor ended")
		case <-hangUp:
			b.checkSettings(path)
		case <-ctx.Done():
		}
	}
	b.log.Log(event.ProcessStopping, "drainTimeout", b.settings.StopTimeout)
	b.drain()
	stop()
	<-ended
	b.log.Log(event.ProcessStopped)
	b.logWriter.Flush()
	return nil
}

// checkSettings reads the settings file and logs whether it differs from the settings in use. The settings are not
// applied before the process is restarted.
func (b *builder) checkSettings(path string) {
	own, err := settings.LoadPlatformDaemon(path)
	if err != nil {
		b.log.Log(event.SettingsNotReread, "path", path, "error", err)
		return
	}
	b.log.Log(event.SettingsReread, "path", path, "changed", *own != b.settings)
}

// drain finishes the requests in progress, then removes the daemon's row from the store.
func (b *builder) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.StopTimeout-stopMargin-leaveTimeout)
	defer cancel()
	b.server.Drain(ctx)
	ctx, cancel = context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	b.members.RemoveRow(ctx)
}

func (b *builder) newSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: b.logSupervisorEvent, Timeout: componentStopTimeout})
}

// logSupervisorEvent logs an event of a supervisor, in most cases that a component failed and was restarted.
func (b *builder) logSupervisorEvent(e suture.Event) {
	b.log.Log(event.ComponentRestarted, "detail", e.String())
}
