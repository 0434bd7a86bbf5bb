// Package signals delivers the signals that reload or stop a service. A burst of reloads cannot displace a
// request to stop.
package signals

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Notify returns a channel that delivers SIGHUP, SIGTERM and SIGINT. SIGHUP requests a reload, the other two
// request a stop. Several requests of one kind may be delivered as one if the first has not been received
// yet, and a stop may overtake a reload. Call Notify before anything else: the default action of SIGHUP ends
// the process. stop ends the delivery and must be called exactly once.
func Notify() (received <-chan os.Signal, stop func()) {
	// Package os/signal drops signals that do not fit the channel. A capacity of one each is enough: a second
	// pending reload, or a second pending request to stop, adds nothing.
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

// forward passes signals to out until stopping is closed.
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
