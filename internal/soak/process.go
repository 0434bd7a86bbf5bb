package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Times of a dispatcher's process.
const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	aliveReplyTimeout = 500 * time.Millisecond
	acceptAfterTerm   = 300 * time.Millisecond // new connections are opened so long after SIGTERM
	// exitTimeout is when the process is killed after SIGTERM: the earliest time that the platform allows.
	exitTimeout = longestDeadline + 700*time.Millisecond
	// requestsAfterTerm is how long after SIGTERM requests are sent on connections that are still open.
	requestsAfterTerm = exitTimeout
	restartDelay      = 250 * time.Millisecond // between two processes
)

// start starts a process and waits until it is ready.
func (d *dispatcher) start() {
	if ended := d.begin(); ended != nil {
		d.awaitReady(ended)
	}
}

// begin starts a process; ended is closed when it has exited, nil: it could not be started.
func (d *dispatcher) begin() (ended <-chan struct{}) {
	d.mu.Lock()
	d.incarnation++
	incarnation := d.incarnation
	d.ready, d.terminatedAt = false, time.Time{}
	d.mu.Unlock()
	if err := d.writeConfiguration(d.discovery.restart(d.endpointList())); err != nil {
		d.fleet.oracle.addFinding(harnessFailed, "%v", err)
		return nil
	}
	for _, e := range d.fleet.endpointList() {
		if e.State == stateDraining {
			d.fleet.oracle.recordDrain(d.index, incarnation, e.ID, time.Now())
		}
	}
	ended, err := d.launch(incarnation)
	if err != nil {
		d.fleet.oracle.addFinding(harnessFailed, "%v", err)
		return nil
	}
	return ended
}

// launch starts the program and watches for its exit; ended is closed then.
func (d *dispatcher) launch(incarnation int) (ended <-chan struct{}, err error) {
	log, err := os.OpenFile(filepath.Join(d.dir, logFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	process := exec.Command(d.fleet.program, "node")
	process.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(d.dir, configFile),
		"CRESSPASS_LOG_LEVEL=debug", "CRESSPASS_FAULTS="+filepath.Join(d.dir, faultsFile),
		"CRESSPASS_MUTANT="+d.fleet.mutant)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return nil, err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = process, exited
	d.mu.Unlock()
	go d.awaitExit(process, incarnation, log, exited)
	return exited, nil
}

// awaitExit waits for the exit of a process, closes its log and exited, and records an exit that nobody asked
// for.
func (d *dispatcher) awaitExit(process *exec.Cmd, incarnation int, log *os.File, exited chan<- struct{}) {
	err := process.Wait()
	_ = log.Close() // this descriptor wrote nothing: the process has one of its own
	d.mu.Lock()
	expected := d.changing && d.process == process
	d.ready = false
	d.mu.Unlock()
	close(exited)
	if !expected && !d.fleet.closing() {
		d.fleet.oracle.addFinding(invariantCrash, "dispatcher %d life %d ended: %v; %s",
			d.index, incarnation, err, d.lastLogLine())
	}
}

// awaitReady polls the process until it says that it is ready, or exits.
func (d *dispatcher) awaitReady(ended <-chan struct{}) {
	begin := time.Now()
	for time.Since(begin) < readyTimeout {
		select {
		case <-ended:
			return
		case <-time.After(readyPollInterval):
		}
		if d.pollAlive() {
			d.mu.Lock()
			d.ready = true
			d.mu.Unlock()
			return
		}
	}
	d.fleet.oracle.addFinding(invariantNotReady, "dispatcher %d after %v", d.index, readyTimeout)
}

// pollAlive asks the process once whether it is ready.
func (d *dispatcher) pollAlive() bool {
	reply := make(chan bool, 1)
	d.mu.Lock()
	d.aliveReply = reply
	d.mu.Unlock()
	c := d.connect()
	if c == nil {
		return false
	}
	defer c.disconnect(false)
	writeBestEffort(c.conn, aliveMessage(1))
	select {
	case alive := <-reply:
		return alive
	case <-time.After(aliveReplyTimeout):
		return false
	}
}

// recordAlive passes a reply on to the poll that waits for it.
func (d *dispatcher) recordAlive(alive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.aliveReply <- alive:
	default:
	}
}

// beginChange begins to end or replace the process, unless that goes on already or it is not ready.
func (d *dispatcher) beginChange() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changing || !d.ready {
		return false
	}
	d.changing = true
	return true
}

func (d *dispatcher) endChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changing = false
}

// terminate ends the process by SIGTERM, and starts another unless it is the last.
func (d *dispatcher) terminate(last bool) {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.mu.Lock()
	process, ended, incarnation := d.process, d.ended, d.incarnation
	d.terminatedAt = time.Now()
	terminatedAt := d.terminatedAt
	d.mu.Unlock()
	sendSignal(process, syscall.SIGTERM)
	select {
	case <-ended:
		if code := process.ProcessState.ExitCode(); code != 0 {
			d.fleet.oracle.addFinding(invariantCrash, "dispatcher %d life %d: exit %d after SIGTERM",
				d.index, incarnation, code)
		}
	case <-d.afterRunning(terminatedAt, exitTimeout):
		d.fleet.oracle.addFinding(invariantNotEnded, "dispatcher %d life %d, %v after SIGTERM",
			d.index, incarnation, exitTimeout)
		sendSignal(process, syscall.SIGKILL)
		<-ended
	}
	if !last {
		time.Sleep(restartDelay)
		d.start()
	}
}

// kill ends the process by SIGKILL, and starts another.
func (d *dispatcher) kill() {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.killNow()
	d.start()
}

// signalAtStart ends the process by SIGKILL, the next one by a signal that comes so soon after its start, and
// starts a third.
func (d *dispatcher) signalAtStart(signal syscall.Signal, after time.Duration) {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.killNow()
	ended := d.begin()
	if ended == nil {
		return
	}
	time.Sleep(after)
	d.mu.Lock()
	process := d.process
	d.mu.Unlock()
	sendSignal(process, signal)
	select {
	case <-ended:
	case <-time.After(exitTimeout):
		d.fleet.oracle.addFinding(invariantNotEnded, "dispatcher %d, %v after %v %v after its start",
			d.index, exitTimeout, signal, after)
		sendSignal(process, syscall.SIGKILL)
		<-ended
	}
	time.Sleep(restartDelay)
	d.start()
}

// signalIfTerminating sends a signal to a process that was sent SIGTERM.
func (d *dispatcher) signalIfTerminating(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changing && !d.terminatedAt.IsZero() {
		sendSignal(d.process, signal)
	}
}

// killNow ends the process by SIGKILL. The caller has begun a change.
func (d *dispatcher) killNow() {
	d.mu.Lock()
	process, ended, incarnation := d.process, d.ended, d.incarnation
	d.ready = false
	d.mu.Unlock()
	sendSignal(process, syscall.SIGKILL)
	<-ended
	d.fleet.oracle.excuseKilled(d.index, incarnation)
	time.Sleep(restartDelay)
	d.fleet.oracle.excuseKilled(d.index, incarnation) // also what clients were just sending
}

// reload moves the discovery to its other address and has the process read its configuration again.
func (d *dispatcher) reload() {
	d.mu.Lock()
	process, ready := d.process, d.ready
	d.mu.Unlock()
	if !ready {
		return
	}
	d.discovery.redirect()
	if err := d.writeConfiguration(d.discovery.eventList()); err != nil {
		d.fleet.oracle.addFinding(harnessFailed, "%v", err)
	}
	sendSignal(process, syscall.SIGHUP)
}

// sendSignal sends a signal to a process. It fails only where the process has exited, which awaitExit
// records.
func sendSignal(process *exec.Cmd, signal syscall.Signal) { _ = process.Process.Signal(signal) }

// acceptsRequests reports whether clients send it requests.
func (d *dispatcher) acceptsRequests() bool { return d.acceptsFor(requestsAfterTerm) }

// acceptsConnections reports whether clients open connections to it.
func (d *dispatcher) acceptsConnections() bool { return d.acceptsFor(acceptAfterTerm) }

// terminating reports whether SIGTERM was sent to it, or no process is ready.
func (d *dispatcher) terminating() bool { return !d.acceptsFor(0) }

func (d *dispatcher) acceptsFor(afterTerm time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && (d.terminatedAt.IsZero() || time.Since(d.terminatedAt) < afterTerm)
}
