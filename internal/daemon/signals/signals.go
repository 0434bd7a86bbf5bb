// Package signals delivers a service's signals so that one to end is not lost behind many to reload.
package signals

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Notify has SIGHUP, SIGTERM and SIGINT come to a channel, in their order but for SIGHUPs that were not
// received yet: those count as one. It is to be called first of all, as a process that does not expect
// SIGHUP is ended by it. stop ends the delivery, and is to be called once.
func Notify() (received <-chan os.Signal, stop func()) {
	// Package os/signal drops what does not fit a channel. One place each is enough: a second reload before
	// the first was begun, or a second end, adds nothing.
	reloads, terminations := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	out, stopping := make(chan os.Signal), make(chan struct{})
	var forwarder sync.WaitGroup
	forwarder.Go(func() { forward(out, stopping, reloads, terminations) })
	return out, func() {
		signal.Stop(reloads)
		signal.Stop(terminations)
		close(stopping)
		forwarder.Wait()
	}
}

// forward sends signals on to out until stopping is closed.
func forward(out chan<- os.Signal, stopping <-chan struct{}, reloads, terminations <-chan os.Signal) {
	for {
		var next os.Signal
		select {
		case next = <-terminations:
		case next = <-reloads:
		case <-stopping:
			return
		}
		select {
		case out <- next:
		case <-stopping:
			return
		}
	}
}
