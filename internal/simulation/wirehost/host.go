// Package wirehost has another program decide: it runs a command that speaks the simulator's wire, as
// cmd/adapter does, and gives each of its instances the form of a dispatch.Decider. So two versions of the
// module can be compared, where one is a binary built earlier.
package wirehost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"time"

	"cresspass"
	"cresspass/internal/wire"
)

// exitTimeout is how long the program may take to end once its input has ended.
const exitTimeout = 5 * time.Second

// Host is a running program. It is for one goroutine at a time, but for Close.
type Host struct {
	command      string
	cmd          *exec.Cmd
	stop         context.CancelFunc
	in           io.WriteCloser
	out          *wire.BatchWriter
	replies      *wire.ReplyReader
	lastInstance int // instance
	err          error
	stderrTail   tailBuffer
}

// tailBuffer keeps the end of what a program says.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

const maxTailBytes = 2000

func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	t.text = t.text[max(0, len(t.text)-maxTailBytes):]
	return len(b), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

// Start runs a command, as /bin/sh reads it. Close is owed.
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

// Close ends the program and returns the first thing that went wrong with it.
func (h *Host) Close() error {
	h.in.Close()
	late := time.AfterFunc(exitTimeout, h.stop)
	defer late.Stop()
	defer h.stop()
	var exit *exec.ExitError
	if err := h.cmd.Wait(); h.err == nil || errors.As(err, &exit) && exit.Exited() {
		h.err = errors.Join(h.err, err) // how it ended says more than that its output did
	}
	return h.Err()
}

// Err returns the first thing that went wrong. From then on no instance does anything.
func (h *Host) Err() error {
	if h.err == nil {
		return nil
	}
	if text := h.stderrTail.String(); text != "" {
		return fmt.Errorf("wirehost: %s: %w; it said: %s", h.command, h.err, text)
	}
	return fmt.Errorf("wirehost: %s: %w", h.command, h.err)
}

// Instance is one dispatcher's decisions.
type Instance struct {
	host         *Host
	number       int
	firstActions []cresspass.Action // what it did when it began
}

// New has an instance begin, with a clock that stands at now.
func (h *Host) New(cfg *cresspass.Config, now time.Duration) *Instance {
	h.lastInstance++
	it := &Instance{host: h, number: h.lastInstance}
	// Danger: what it does at once is its first timer, without which it would never look up again.
	it.firstActions = it.exchange(now, nil, func() { h.out.Start(it.number, cfg) })
	return it
}

// exchange makes one exchange. Danger: a program that says nothing further would hang all, so its end is an
// error of the reply.
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

// Handle has it decide. An instance acts on events only, so nothing is asked where there is none.
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

// Retire ends it.
func (it *Instance) Retire(now time.Duration) {
	it.exchange(now, nil, func() { it.host.out.Stop(it.number) })
}

// Snapshot returns nothing: the wire has no place for what was learnt.
func (it *Instance) Snapshot() []byte { return nil }

// Restore takes nothing over.
func (it *Instance) Restore([]byte, time.Duration) error { return nil }
