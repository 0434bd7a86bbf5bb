package platform

import (
	"os"
	"syscall"
	"time"

	"cresspass"
)

// The phases of a graceful shutdown. The platform kills a process that still runs 700 ms after the longest
// deadline that it waits for.
const (
	acceptAfterTerm  = 650 * time.Millisecond // after SIGTERM, for accepting connections and requests
	maxShutdownWait  = 3 * time.Second        // the longest deadline that the platform waits for
	answerMargin     = 400 * time.Millisecond // after the longest deadline, until all queries have answers...
	lastAnswerMargin = 500 * time.Millisecond // ...until requests that are still open are failed...
	exitMargin       = 600 * time.Millisecond // ...and until the process exits
)

const (
	sweepInterval         = 500 * time.Millisecond // of idle connections and waiting calls
	shutdownSweepInterval = sweepInterval / 10     // during a shutdown, to notice its end
	statsInterval         = 10 * time.Second       // of the statistics in the log
)

// lifecycle is the state of a dispatcher's main loop: signals, reloads, periodic work and the phases of a
// graceful shutdown. All of it belongs to the goroutine that calls run.
type lifecycle struct {
	service *service
	sweep   *time.Ticker
	reload  reloadRetry

	// Timers of a shutdown, nil until SIGTERM.
	drainBacklog <-chan time.Time // drain the backlog and close the listener; nil again after it fired
	failOpen     <-chan time.Time // fail the requests that are still open
	exit         <-chan time.Time // end the process even if requests are open; nil until failOpen fires

	shuttingDown bool
	exitAfter    time.Duration // from failOpen to exit
}

// run is the main loop of a dispatcher. It returns when a shutdown is complete or its time is over.
func (s *service) run(signals <-chan os.Signal) error {
	l := &lifecycle{service: s, sweep: time.NewTicker(sweepInterval), reload: reloadRetry{service: s}}
	defer l.sweep.Stop()
	stats := time.NewTicker(statsInterval)
	defer stats.Stop()
	for {
		select {
		case <-l.reload.timer:
			l.reload.try()
		case sig := <-signals:
			l.handleSignal(sig)
		case <-l.drainBacklog:
			s.recordChange("draining the listener's backlog")
			s.frontend.drainBacklog()
			l.drainBacklog = nil
		case <-l.sweep.C:
			if l.sweepDone() {
				s.logStats()
				return nil
			}
		case <-l.failOpen:
			l.failOpenRequests()
		case <-stats.C:
			s.logStats()
		case <-l.exit:
			s.logStats()
			return nil
		}
	}
}

// handleSignal starts a reload on SIGHUP, and the shutdown on the first other signal.
func (l *lifecycle) handleSignal(sig os.Signal) {
	switch {
	case sig == syscall.SIGHUP:
		l.reload.start()
	case !l.shuttingDown:
		l.beginShutdown(sig)
	}
}

// beginShutdown starts a graceful shutdown. It has the core answer every query before the platform kills the
// process: queries that are open at that time would never be answered.
func (l *lifecycle) beginShutdown(sig os.Signal) {
	s := l.service
	s.log.Info("shutting down", "signal", sig.String())
	s.recordChange("shutting down")
	s.frontend.mu.Lock()
	s.frontend.registry.Drain()
	s.frontend.mu.Unlock()
	longest := s.longestDeadline()
	if !mutantEnabled(mutantNoShutdownAnswers) {
		s.loop.Post(cresspass.Event{Type: cresspass.ShutdownScheduled,
			RemainingDeadline: longest + answerMargin})
	}
	failAfter := max(longest+lastAnswerMargin, acceptAfterTerm)
	l.shuttingDown, l.exitAfter = true, longest+exitMargin-failAfter
	l.drainBacklog, l.failOpen = time.After(acceptAfterTerm), time.After(failAfter)
	l.sweep.Reset(shutdownSweepInterval)
}

// longestDeadline returns the longest deadline of all classes, but maxShutdownWait at most.
func (s *service) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.cfg.Module.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxShutdownWait)
}

// sweepDone does the periodic work, and reports whether a shutdown is complete. It is not complete until
// every attempt has ended: a cancelled query keeps running until its compute node receives the cancel, and
// the next process of this name would send the next query of the same key while it runs.
func (l *lifecycle) sweepDone() bool {
	s := l.service
	s.pool.sweep()
	if !l.shuttingDown || l.drainBacklog != nil {
		return false
	}
	s.frontend.retireUnused()
	return s.frontend.finished() && s.openAttempts() == 0
}

// failOpenRequests fails the open requests, and admits no more. The timer of the exit starts only now: if
// both timers ran from SIGTERM, both would be due at once after a stall of the process, and it would exit
// without answering requests that arrived during the stall.
func (l *lifecycle) failOpenRequests() {
	l.exit = time.After(l.exitAfter)
	if mutantEnabled(mutantNoShutdownAnswers) {
		return
	}
	l.service.recordChange("failing open requests")
	l.service.frontend.failOpen()
	l.service.guard.setServing(false)
}
