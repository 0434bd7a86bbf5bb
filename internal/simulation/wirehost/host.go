// Package wirehost lets an external program make the decisions of dispatchers. It runs a command that speaks
// the simulator's protocol, as cmd/adapter does, and provides each of the program's instances as a
// dispatch.Decider. This allows an earlier build of the module to be compared with the current one. The
// protocol does not support membership or snapshots.
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

// exitTimeout is how long the program may take to exit after the end of its input.
const exitTimeout = 5 * time.Second

// Host is a running program. It must not be used by several goroutines at once.
type Host struct {
	command      string
	cmd          *exec.Cmd
	stop         context.CancelFunc
	in           io.WriteCloser
	out          *wire.BatchWriter
	replies      *wire.ReplyReader
	lastInstance int   // number of the last instance started
	err          error // the first one
	stderrTail   tailBuffer
}

// Start runs a command through /bin/sh. The caller must call Close.
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

// Close closes the program's input, waits until the program exits, and returns the host's first error or the
// program's exit status. A program that does not exit within exitTimeout is killed.
func (h *Host) Close() error {
	_ = h.in.Close() // fails only if the program has ended, which Wait reports
	killTimer := time.AfterFunc(exitTimeout, h.stop)
	defer killTimer.Stop()
	defer h.stop()
	var exit *exec.ExitError
	if err := h.cmd.Wait(); h.err == nil || errors.As(err, &exit) && exit.Exited() {
		h.err = errors.Join(h.err, err) // the exit status is more informative than the end of its output
	}
	return h.Err()
}

// Err returns the first error, with the end of the program's standard error output. After an error, instances
// do nothing.
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
	firstActions []cresspass.Action // actions at its start, returned by the next Handle
}

// New starts an instance whose clock shows now. Err reports whether that failed.
func (h *Host) New(cfg *cresspass.Config, now time.Duration) *Instance {
	h.lastInstance++
	it := &Instance{host: h, number: h.lastInstance}
	// The actions at its start set its first timer. If they were lost, none of its timers would ever fire.
	it.firstActions = it.exchange(now, nil, func() { h.out.Start(it.number, cfg) })
	return it
}

// exchange sends a batch, written by write, and appends the actions of the reply to actions. The end of the
// program's output is an error; otherwise, a program that exited would leave the simulation waiting forever.
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

// Handle passes events to the instance and appends its actions. An instance acts only on events, so there is
// no exchange without them.
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

// Retire stops the instance in the program.
func (it *Instance) Retire(now time.Duration) {
	it.exchange(now, nil, func() { it.host.out.Stop(it.number) })
}

// Snapshot returns nil, because the protocol has no snapshots.
func (it *Instance) Snapshot() []byte { return nil }

// TimerQuery returns the query that a timer belongs to: the program has the same gateway as this one.
func (it *Instance) TimerQuery(label uint64) (id cresspass.QueryID, ok bool) {
	return cresspass.TimerQuery(label)
}

// Restore does nothing, because the protocol has no snapshots.
func (it *Instance) Restore([]byte, time.Duration) error { return nil }
