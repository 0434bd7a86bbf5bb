package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Timing of a dispatcher's process.
const (
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	aliveReplyTimeout = 500 * time.Millisecond
	acceptAfterTerm   = 300 * time.Millisecond // how long clients open connections after SIGTERM
	// exitTimeout is the time from SIGTERM after which the process is killed. It is the shortest time that
	// the platform allows for an exit.
	exitTimeout = longestDeadline + 700*time.Millisecond
	// requestsAfterTerm is how long clients send requests on open connections after SIGTERM.
	requestsAfterTerm = exitTimeout
	restartDelay      = 250 * time.Millisecond // between the end of a process and the next start
)

// start starts a process and waits until it is ready.
func (d *dispatcher) start() {
	if ended := d.startProcess(); ended != nil {
		d.awaitReady(ended)
	}
}

// startProcess starts a process without waiting until it is ready. ended is closed when the process has
// exited; it is nil if the process could not be started, which is recorded as a finding.
func (d *dispatcher) startProcess() (ended <-chan struct{}) {
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

// launch runs the program. ended is closed when the process has exited.
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

// awaitExit waits for the exit of a process, and closes its log and the channel exited. It records an
// unexpected exit as a finding.
func (d *dispatcher) awaitExit(process *exec.Cmd, incarnation int, log *os.File, exited chan<- struct{}) {
	err := process.Wait()
	_ = log.Close() // nothing was written through this descriptor; the process has its own
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

// awaitReady polls the process until it reports that it is ready or exits. It records a finding after
// readyTimeout.
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

// deliverAlive passes a reply to the poll that waits for it, if any.
func (d *dispatcher) deliverAlive(alive bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.aliveReply <- alive:
	default:
	}
}

// beginChange reserves the process for being ended or replaced until endChange. It returns false if another
// change is in progress or the process is not ready.
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

// terminate ends the process by SIGTERM, and by SIGKILL if it does not exit within exitTimeout, not counting
// pauses. It starts the next process unless last is set.
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

// kill ends the process by SIGKILL and starts the next one.
func (d *dispatcher) kill() {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.killNow()
	d.start()
}

// signalAtStart ends the process by SIGKILL, ends the next one by a signal at the given time after its start,
// and starts a third.
func (d *dispatcher) signalAtStart(signal syscall.Signal, after time.Duration) {
	if !d.beginChange() {
		return
	}
	defer d.endChange()
	d.killNow()
	ended := d.startProcess()
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

// signalIfTerminating sends a signal to the process if it was sent SIGTERM and its change is in progress.
func (d *dispatcher) signalIfTerminating(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changing && !d.terminatedAt.IsZero() {
		sendSignal(d.process, signal)
	}
}

// killNow ends the process by SIGKILL and excuses its unanswered requests. The caller has called beginChange.
func (d *dispatcher) killNow() {
	d.mu.Lock()
	process, ended, incarnation := d.process, d.ended, d.incarnation
	d.ready = false
	d.mu.Unlock()
	sendSignal(process, syscall.SIGKILL)
	<-ended
	d.fleet.oracle.excuseKilled(d.index, incarnation)
	time.Sleep(restartDelay)
	d.fleet.oracle.excuseKilled(d.index, incarnation) // again, for requests sent meanwhile
}

// reload moves discovery to its other address, writes the new configuration and sends SIGHUP.
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

// sendSignal sends a signal to a process. It ignores the error: sending fails only if the process has exited,
// which awaitExit handles.
func sendSignal(process *exec.Cmd, signal syscall.Signal) { _ = process.Process.Signal(signal) }

// acceptsRequests reports whether clients may send requests to the dispatcher.
func (d *dispatcher) acceptsRequests() bool { return d.acceptsFor(requestsAfterTerm) }

// acceptsConnections reports whether clients may open connections to the dispatcher.
func (d *dispatcher) acceptsConnections() bool { return d.acceptsFor(acceptAfterTerm) }

// terminating reports whether the process was sent SIGTERM or is not ready.
func (d *dispatcher) terminating() bool { return !d.acceptsFor(0) }

// acceptsFor reports whether the process is ready and was not sent SIGTERM more than afterTerm ago.
func (d *dispatcher) acceptsFor(afterTerm time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready && (d.terminatedAt.IsZero() || time.Since(d.terminatedAt) < afterTerm)
}
