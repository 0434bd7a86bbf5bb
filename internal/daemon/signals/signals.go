// Package signals hands a service its signals so that none to end is lost behind many to reload.
package signals

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Notify has SIGHUP, SIGTERM and SIGINT come to a channel, in their order but for SIGHUPs that were not taken
// yet: those count as one. It is to be called first of all, as a process that does not expect SIGHUP is ended
// by it. stop ends that, and is to be called once.
func Notify() (all <-chan os.Signal, stop func()) {
	// os/signal drops what does not fit a channel. One place each is enough: a second reload before the first
	// was begun, or a second end, adds nothing.
	reload, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	out, halt := make(chan os.Signal), make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { relay(out, halt, reload, end) })
	return out, func() {
		signal.Stop(reload)
		signal.Stop(end)
		close(halt)
		done.Wait()
	}
}

func relay(out chan<- os.Signal, halt <-chan struct{}, reload, end <-chan os.Signal) {
	for {
		var next os.Signal
		select {
		case next = <-end:
		case next = <-reload:
		case <-halt:
			return
		}
		select {
		case out <- next:
		case <-halt:
			return
		}
	}
}
