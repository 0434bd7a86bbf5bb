package rehearsal

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresspass/internal/rehearsal/rulecheck"
)

const (
	listenPollInterval = 5 * time.Millisecond
	dialTimeout        = time.Second
	stopTimeout        = 10 * time.Second // a dispatcher that has not stopped by then is killed
)

// dispatcher is one dispatcher process.
type dispatcher struct {
	run         *run
	index       int
	addr        string
	args        []string
	log         *os.File
	relay       *rulecheck.Relay
	flightRelay *rulecheck.Relay // for Flight SQL; nil: the day does not use it
	up          atomic.Bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	stdin   io.Closer // held open for as long as the process is to run
	outages []rulecheck.Outage
}

func (d *dispatcher) name() string { return dispatcherName(d.index) }

// start starts the process and waits until it listens.
func (d *dispatcher) start(ctx context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	program := d.run.options.Program
	d.cmd = exec.Command(program[0], append(append([]string(nil), program[1:]...), d.args...)...)
	d.cmd.Env = append(os.Environ(), "CRESSPASS_RUN=1")
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// A dispatcher exits when its standard input ends, so that none outlives the rehearsal.
	stdin, err := d.cmd.StdinPipe()
	if err != nil {
		return err
	}
	d.stdin = stdin
	if err := d.cmd.Start(); err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < startTimeout && ctx.Err() == nil; {
		if c, err := net.DialTimeout("tcp", d.addr, dialTimeout); err == nil {
			c.Close()
			d.up.Store(true)
			return nil
		}
		time.Sleep(listenPollInterval)
	}
	return fmt.Errorf("rehearse: dispatcher %d does not listen on %s; its log is %s", d.index, d.addr,
		d.log.Name())
}

// beginOutage records the start of an outage. The caller holds d.mu.
func (d *dispatcher) beginOutage() {
	d.outages = append(d.outages, rulecheck.Outage{Dispatcher: d.name(), At: time.Now()})
}

// kill ends the process without warning, as a crash does.
func (d *dispatcher) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beginOutage()
	d.up.Store(false)
	_ = d.cmd.Process.Kill() // fails only if the process has ended already
	_ = d.cmd.Wait()         // the exit status is that of the kill
}

// shutDownForRestart stops the process gracefully, and records an outage that startAgain ends.
func (d *dispatcher) shutDownForRestart() {
	d.mu.Lock()
	d.beginOutage()
	d.mu.Unlock()
	d.stop()
}

// startAgain starts the process after kill or shutDownForRestart, and records the end of the outage.
func (d *dispatcher) startAgain(ctx context.Context) error {
	err := d.start(ctx)
	d.mu.Lock()
	d.outages[len(d.outages)-1].Back = time.Now()
	d.mu.Unlock()
	return err
}

// stop ends the process by SIGTERM, or kills it after stopTimeout. It does nothing if the process has ended.
func (d *dispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.ProcessState != nil {
		return
	}
	d.up.Store(false)
	_ = d.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has ended already
	timeout := time.AfterFunc(stopTimeout, func() {
		_ = d.cmd.Process.Kill() // fails only if the process has ended already
	})
	_ = d.cmd.Wait() // the rules are checked from the bytes, not from the exit status
	timeout.Stop()
}

func (d *dispatcher) closeRelays() {
	if d.relay != nil {
		d.relay.Close()
	}
	if d.flightRelay != nil {
		d.flightRelay.Close()
	}
}
