// Package wirehost lets another program decide. It runs a command that speaks the simulator's protocol, as
// cmd/adapter does, and makes each of its instances a dispatch.Decider. So a version of the module that was
// built earlier can be compared with this one. The protocol has no place for membership or snapshots.
package wirehost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"time"

	"cresspass"
	"cresspass/internal/wire"
)

// exitTimeout is how long the program may take to exit once its input has ended.
const exitTimeout = 5 * time.Second

// Host is a running program. It is for one goroutine at a time, except Close.
type Host struct {
	command      string
	cmd          *exec.Cmd
	stop         context.CancelFunc
	in           io.WriteCloser
	out          *wire.BatchWriter
	replies      *wire.ReplyReader
	lastInstance int // its number
	err          error
	stderrTail   tailBuffer
}

// Start runs a command, which /bin/sh reads. The caller must call Close.
func Start(command string) (*Host, error) {
	ctx, stop := context.WithCancel(context.Background())
	h := &Host{command: command, stop: stop, cmd: exec.CommandContext(ctx, "/bin/sh", "-c", "exec "+command)}
	h.cmd.Stderr, h.cmd.WaitDelay = &h.stderrTail, exitTimeout
	in, err := h.cmd.StdinPipe()
	var out io.ReadCloser
	if err == nil {
		out, err = h.cmd.StdoutPipe()
	}
	if err == nil {
		err = h.cmd.Start()
	}
	if err != nil {
		stop()
		return nil, fmt.Errorf("wirehost: %s: %w", command, err)
	}
	h.in, h.out, h.replies = in, wire.NewBatchWriter(in), wire.NewReplyReader(out)
	return h, nil
}

// Close ends the program's input, waits until it exits, and returns its first error. A program that does not
// exit within exitTimeout is killed.
func (h *Host) Close() error {
	_ = h.in.Close() // fails only where the program has ended, which Wait reports
	killTimer := time.AfterFunc(exitTimeout, h.stop)
	defer killTimer.Stop()
	defer h.stop()
	var exit *exec.ExitError
	if err := h.cmd.Wait(); h.err == nil || errors.As(err, &exit) && exit.Exited() {
		h.err = errors.Join(h.err, err) // the exit status says more than the end of its output
	}
	return h.Err()
}

// Err returns the first error, with the end of what the program wrote to its standard error. After an error
// no instance does anything.
func (h *Host) Err() error {
	if h.err == nil {
		return nil
	}
	if text := h.stderrTail.String(); text != "" {
		return fmt.Errorf("wirehost: %s: %w; it said: %s", h.command, h.err, text)
	}
	return fmt.Errorf("wirehost: %s: %w", h.command, h.err)
}

// Instance is the decider of one dispatcher.
type Instance struct {
	host         *Host
	number       int
	firstActions []cresspass.Action // of its start, returned by the next Handle
}

// New starts an instance, with a clock that shows now.
func (h *Host) New(cfg *cresspass.Config, now time.Duration) *Instance {
	h.lastInstance++
	it := &Instance{host: h, number: h.lastInstance}
	// The actions of its start hold its first timer; if they were lost, no timer of it would ever fire.
	it.firstActions = it.exchange(now, nil, func() { h.out.Start(it.number, cfg) })
	return it
}

// exchange sends a batch and reads the reply. The end of the program's output is an error of the reply;
// otherwise, a program that exited would leave the simulation waiting forever.
func (it *Instance) exchange(now time.Duration, actions []cresspass.Action, write func()) []cresspass.Action {
	h := it.host
	if h.err != nil {
		return actions
	}
	h.out.Begin(now)
	write()
	if h.err = h.out.End(); h.err == nil {
		actions, h.err = h.replies.Next(it.number, actions)
	}
	return actions
}

// Handle lets the instance decide. An instance acts on events only, so without any there is no exchange.
func (it *Instance) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	actions, it.firstActions = append(actions, it.firstActions...), nil
	if len(events) == 0 {
		return actions
	}
	return it.exchange(now, actions, func() {
		for i := range events {
			it.host.out.Event(it.number, &events[i])
		}
	})
}

// Retire ends the instance.
func (it *Instance) Retire(now time.Duration) {
	it.exchange(now, nil, func() { it.host.out.Stop(it.number) })
}

// Snapshot returns nothing, as the protocol has no snapshots.
func (it *Instance) Snapshot() []byte { return nil }

// Restore does nothing, as the protocol has no snapshots.
func (it *Instance) Restore([]byte, time.Duration) error { return nil }
