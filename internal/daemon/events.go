package daemon

import (
	"context"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"cresspass/internal/daemon/lifecycle"
)

// tickInterval is how often the event loop checks deadlines, and whether a drain has finished.
const tickInterval = 20 * time.Millisecond

// eventLoop passes signals and events to the lifecycle machine until the machine returns Exit.
func (d *daemon) eventLoop(ctx context.Context, received <-chan os.Signal) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	stop, done := d.options.Stop, ctx.Done()
	for !d.stopped {
		select {
		case s := <-received:
			if s == syscall.SIGHUP {
				d.handle(lifecycle.Event{Type: lifecycle.Reload})
			} else {
				d.handle(lifecycle.Event{Type: lifecycle.Terminate})
			}
		case <-stop:
			stop = nil
			d.handle(lifecycle.Event{Type: lifecycle.Terminate})
		case <-done:
			done = nil
			d.handle(lifecycle.Event{Type: lifecycle.Terminate})
		case ev := <-d.events:
			d.handle(ev)
		case <-tick.C:
			d.handle(lifecycle.Event{Type: lifecycle.Tick})
			if d.machine.State() == lifecycle.Draining && d.server.Idle() {
				d.handle(lifecycle.Event{Type: lifecycle.Drained})
			}
		}
	}
}

// handle passes an event to the machine and performs the actions that it returns.
func (d *daemon) handle(ev lifecycle.Event) {
	before := d.machine.State()
	for _, a := range d.machine.Step(time.Since(d.startedAt), ev) {
		d.perform(a)
	}
	if after := d.machine.State(); after != before {
		d.state.Store(int32(after))
		d.logger.Info("state changed", "from", before.String(), "to", after.String())
	}
}

func (d *daemon) perform(a lifecycle.Action) {
	switch a.Type {
	case lifecycle.NotifyReady:
		d.notifyServiceManager(notifyReady)
	case lifecycle.NotifyStopping:
		d.notifyServiceManager(notifyStopping)
	case lifecycle.ReloadConfig:
		d.reload()
	case lifecycle.SendListeners:
		listeners := []*net.TCPListener{d.listener}
		if ln, ok := d.server.FlightListener().(*net.TCPListener); ok {
			listeners = append(listeners, ln)
		}
		d.handover.sendListeners(a.SuccessorID, listeners...)
	case lifecycle.RejectSuccessor:
		d.handover.reject(a.SuccessorID)
	case lifecycle.StartDrain:
		d.logger.Info("draining", "timeout", d.machine.DrainTimeout())
		if d.handover != nil {
			d.handover.announceDrain()
		}
		d.server.Drain()
	case lifecycle.ForceClose:
		d.logger.Warn("drain cut short")
		d.server.TerminateAll()
	case lifecycle.Exit:
		d.stopped = true
	}
}

// reload reads the settings again, and applies either all of them or none.
func (d *daemon) reload() {
	d.notifyServiceManager(notifyReloading + "\nMONOTONIC_USEC=" + strconv.FormatInt(monotonicMicros(), 10))
	defer d.notifyServiceManager(notifyReady)
	cfg, err := d.options.LoadConfig()
	if err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	changed, err := d.server.Reload(cfg)
	if err != nil {
		d.logger.Error("settings not reloaded", "error", err)
		return
	}
	d.machine.SetDrainTimeout(cfg.DrainTimeout)
	if d.options.LogLevel != nil {
		if err := d.options.LogLevel.UnmarshalText([]byte(cfg.LogLevel)); err != nil {
			d.logger.Error("log level not changed", "error", err)
		}
	}
	d.logger.Info("settings reloaded", "changed", changed)
}
