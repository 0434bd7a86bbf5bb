package platform

import (
	"os"
	"syscall"
	"time"

	"cresspass"
)

// The phases of a graceful shutdown. The platform kills a process that is there 700 ms after the longest
// deadline that it waits for.
const (
	acceptAfterTerm  = 650 * time.Millisecond // in which connections and requests are accepted after SIGTERM
	maxShutdownWait  = 3 * time.Second        // of the longest deadline that the platform waits for
	answerMargin     = 400 * time.Millisecond // after that deadline the core has answered every query...
	lastAnswerMargin = 500 * time.Millisecond // ...those that are open all the same are failed...
	exitMargin       = 600 * time.Millisecond // ...and the process ends
)

const (
	sweepInterval         = 500 * time.Millisecond // of idle connections and waiting calls
	shutdownSweepInterval = sweepInterval / 10     // while it also looks whether all is answered
	statsInterval         = 10 * time.Second       // of the statistics in the log
)

// lifecycle is the main loop of a dispatcher: signals, reloads, periodic work and the phases of a graceful
// shutdown. All of it belongs to the goroutine that calls run.
type lifecycle struct {
	service *service
	sweep   *time.Ticker
	reload  reloadRetry

	// Of a shutdown. Before SIGTERM all are nil.
	drainBacklog <-chan time.Time // the listener closes once its backlog is empty; nil again after that
	failOpen     <-chan time.Time // requests that are still open are failed
	exit         <-chan time.Time // the process ends, whatever is open; nil before failOpen

	shuttingDown bool
	exitAfter    time.Duration // from failOpen to exit
}

// run serves until a shutdown is over.
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
			s.recordChange("listener drains its backlog")
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

// handleSignal starts a reload or, once, the shutdown.
func (l *lifecycle) handleSignal(sig os.Signal) {
	switch {
	case sig == syscall.SIGHUP:
		l.reload.start()
	case !l.shuttingDown:
		l.beginShutdown(sig)
	}
}

// beginShutdown starts a graceful shutdown. The core is told to answer every query before the process
// ends: the platform kills a process that stays, and its queries would never be answered.
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

// longestDeadline is the longest deadline of a class, as far as the platform waits for it.
func (s *service) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.cfg.Module.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxShutdownWait)
}

// sweepDone does the periodic work, and reports whether a shutdown is over. It is not before every
// attempt has ended: a query that was cancelled runs on until its compute node knows, and the next
// process of this name would send the next query of its key beside it.
func (l *lifecycle) sweepDone() bool {
	s := l.service
	s.pool.sweep()
	if !l.shuttingDown || l.drainBacklog != nil {
		return false
	}
	s.frontend.retireUnused()
	return s.frontend.finished() && s.openAttempts() == 0
}

// failOpenRequests answers what is open, and admits nothing more. The process ends some time later: both
// timers counted from SIGTERM would be over at once in a process that did not run for a moment, which then
// ended without an answer to what came meanwhile.
func (l *lifecycle) failOpenRequests() {
	l.exit = time.After(l.exitAfter)
	if mutantEnabled(mutantNoShutdownAnswers) {
		return
	}
	l.service.recordChange("open requests are failed")
	l.service.frontend.failOpen()
	l.service.guard.setServing(false)
}
