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
	minAcceptBackoff     = time.Millisecond      // pause after a local accept error, doubled...
	maxAcceptBackoff     = 16 * time.Millisecond // ...for each consecutive one, up to this
	maxAcceptErrors      = 16                    // consecutive errors; after more, each one causes a pause
	acceptBlockedAfter   = time.Millisecond      // an accept that took longer waited for a connection
	backlogPollTimeout   = 2 * time.Millisecond  // of an accept while the backlog is drained
	maxEmptyBacklogPolls = 3                     // consecutive timeouts; one more ends the draining
)

// run accepts connections until drainBacklog was called and the backlog is empty, or the listener is closed.
// It closes the listener.
func (f *frontend) run() {
	defer close(f.done)
	defer f.listener.Close()
	var queue acceptQueue
	emptyPolls, acceptErrors := 0, 0 // consecutive
	// Connections that come without a pause are accepted in turns, apart from those of the readers.
	turn := turn{turns: newReadTurns(f.service.loop)}
	defer turn.end()
	for {
		begun := time.Now()
		conn, err := f.service.system.accept(f.listener)
		if queue.observe(begun, time.Now(), err != nil) {
			turn.end()
		}
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded): // the deadline set by drainBacklog
			// A single timeout does not prove that the backlog is empty. On a busy core the deadline may
			// pass before the accept runs, and an accept past its deadline does not check the backlog.
			// Closing the listener then would reset connections with requests.
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
			turn.addRequest()
			turn.addMessage(0)
		}
	}
}

// handleAcceptError evicts a connection if no descriptor is left, and pauses if the error is not that of a
// single connection or errors persist. consecutive is the number of errors since the last accepted
// connection.
func (f *frontend) handleAcceptError(err error, consecutive int) {
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		f.evict(silentClientGrace)
	}
	if !oserr.IsPerConnection(err) || consecutive > maxAcceptErrors {
		time.Sleep(acceptBackoff(consecutive))
	}
}

// acceptBackoff returns the pause after so many consecutive accept errors. It starts short: a long pause
// after each error would delay the whole backlog when only some accepts fail.
func acceptBackoff(consecutive int) time.Duration {
	return min(minAcceptBackoff<<min(consecutive-1, maxAcceptErrors), maxAcceptBackoff)
}

// accepted serves a new connection, or refuses it if there is no capacity for it.
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

// refuse closes a connection for which there is no capacity. If a message has arrived on it, the message is
// answered first.
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

// drainBacklog makes run accept the connections that are in the backlog and then stop.
func (f *frontend) drainBacklog() { f.setAcceptTimeout(0) }

func (f *frontend) setAcceptTimeout(timeout time.Duration) {
	f.listener.SetDeadline(time.Now().Add(timeout))
}

// acceptQueue estimates how long connections may have waited in the backlog. The deadline of a request
// counts from the arrival of its last byte: a request that waited while accepts failed has less time left
// than it states. It belongs to the goroutine that accepts connections.
type acceptQueue struct {
	failingSince time.Time // first error since the backlog was last empty; zero if there was none
}

// observe records how an accept ended. It reports whether the backlog was empty.
func (q *acceptQueue) observe(begun, ended time.Time, failed bool) (empty bool) {
	empty = !failed && ended.Sub(begun) > acceptBlockedAfter // it blocked
	switch {
	case failed && q.failingSince.IsZero():
		q.failingSince = begun
	case empty:
		q.failingSince = time.Time{}
	}
	return empty
}

// maxWait returns how long a connection that was just accepted may have been in the backlog, at most.
func (q *acceptQueue) maxWait(now time.Time) time.Duration {
	if q.failingSince.IsZero() {
		return 0
	}
	return now.Sub(q.failingSince)
}
