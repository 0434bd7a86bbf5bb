package platform

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cresspass/internal/oserr"
)

const (
	minAcceptBackoff     = time.Millisecond      // after an accept that failed by our own machine, doubled...
	maxAcceptBackoff     = 16 * time.Millisecond // ...with each in a row, up to this
	maxAcceptErrors      = 16                    // in a row, whatever they are, before there is a pause too
	acceptBlockedAfter   = time.Millisecond      // an accept that took longer waited for its connection
	backlogPollTimeout   = 2 * time.Millisecond  // of an accept while the backlog is drained...
	maxEmptyBacklogPolls = 3                     // ...which ends after more than so many in vain
)

// run accepts connections until the backlog is drained, and closes the listener.
func (f *frontend) run() {
	defer close(f.done)
	defer f.listener.Close()
	var queue acceptQueue
	emptyPolls, acceptErrors := 0, 0 // each in a row
	for {
		begun := time.Now()
		conn, err := f.service.system.accept(f.listener)
		queue.observe(begun, time.Now(), err != nil)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // the deadline of drainBacklog
			// One empty poll proves nothing. A busy core may bring the deadline before the look, and an
			// accept past its deadline doesn't look; a listener closed then would reset connections with
			// requests.
			if emptyPolls++; emptyPolls > maxEmptyBacklogPolls || mutantEnabled(mutantNoBacklogDrain) {
				return
			}
			f.setAcceptTimeout(backlogPollTimeout)
		case err != nil:
			emptyPolls = 0
			acceptErrors++
			f.handleAcceptError(err, acceptErrors)
		default:
			emptyPolls, acceptErrors = 0, 0
			f.accepted(conn, &queue)
		}
	}
}

// handleAcceptError evicts a connection where no descriptor is left, and pauses where the machine fails for a
// moment. inRow counts the errors since the last connection.
func (f *frontend) handleAcceptError(err error, inRow int) {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		f.evict(silentClientGrace)
	}
	if !oserr.IsPerConnection(err) || inRow > maxAcceptErrors {
		time.Sleep(acceptBackoff(inRow))
	}
}

// acceptBackoff is the pause after so many accepts in a row that failed. A long one after each would keep the
// whole backlog waiting where some accepts fail and others don't.
func acceptBackoff(inRow int) time.Duration {
	return min(minAcceptBackoff<<min(inRow-1, maxAcceptErrors), maxAcceptBackoff)
}

// accepted serves a new connection, or closes it where there is no capacity for it.
func (f *frontend) accepted(conn *net.TCPConn, queue *acceptQueue) {
	client, err := newClientConn(f, conn)
	if err != nil {
		conn.Close()
		return
	}
	if !f.makeRoom() {
		f.refuse(client)
		return
	}
	now := f.service.clock()
	if client.hasUnread() {
		client.readDelay = max(queue.maxWait(time.Now()), f.service.stalls.maxWait(0, client.sinceLastInput))
	} else {
		client.emptyAt = now
	}
	f.register(client)
	go client.serve()
}

// refuse ends a connection for which there is no capacity. One on which a message has come is answered first.
func (f *frontend) refuse(client *clientConn) {
	f.service.evictedClients.Add(1)
	f.mu.Lock()
	f.recordClose(closedNoCapacity)
	f.mu.Unlock()
	if client.hasUnread() && !mutantEnabled(mutantNoOverflow) {
		f.rejectOverflow(client)
		return
	}
	client.conn.Close()
}

// drainBacklog makes run accept the connections in the backlog, and none after that.
func (f *frontend) drainBacklog() { f.setAcceptTimeout(0) }

func (f *frontend) setAcceptTimeout(timeout time.Duration) {
	f.listener.SetDeadline(time.Now().Add(timeout))
}

// acceptQueue estimates how long connections may have waited in the backlog. The deadline of a request
// counts from its last byte: one that waited behind accepts that fail has less time left than it says. It
// belongs to the goroutine that accepts.
type acceptQueue struct {
	failingSince time.Time // of the first error since the backlog was last empty; zero: there was none
}

// observe records how an accept ended.
func (q *acceptQueue) observe(begun, ended time.Time, failed bool) {
	switch {
	case failed && q.failingSince.IsZero():
		q.failingSince = begun
	case !failed && ended.Sub(begun) > acceptBlockedAfter: // it waited: the backlog was empty
		q.failingSince = time.Time{}
	}
}

// maxWait is how long a connection that was just accepted may have been in the backlog.
func (q *acceptQueue) maxWait(now time.Time) time.Duration {
	if q.failingSince.IsZero() {
		return 0
	}
	return now.Sub(q.failingSince)
}
