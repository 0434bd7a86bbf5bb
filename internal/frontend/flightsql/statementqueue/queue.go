// Package statementqueue decides which statement of a session runs now. A Flight client asks for many things
// of one session at once, and an engine's connection does one after the other. Statements that leave nothing
// share the lane; one that may leave something, or needs what was left, has it alone. Nobody overtakes: one
// that waits for the lane alone holds later ones back, so that a flood of plain ones cannot starve it. It
// does no I/O and has no clock.
package statementqueue

// StatementID names a statement.
type StatementID uint64

type entry struct {
	id        StatementID
	exclusive bool
}

// Queue is one session's lane. The zero value is free. It is for one goroutine at a time.
type Queue struct {
	sharedRunning    int // running
	exclusiveRunning bool
	waiting          []entry
	running          map[StatementID]bool // running ones; true: alone
	sticky           bool
	closed           bool
}

// SetSticky tells that the session is kept on an engine's connection from here on, or is no more. Where it
// is, every statement has the lane alone.
func (l *Queue) SetSticky(sticky bool) { l.sticky = sticky }

// Close has no further statement run. It returns those that wait; each is to be told so.
func (l *Queue) Close() (waiting []StatementID) {
	for _, e := range l.waiting {
		waiting = append(waiting, e.id)
	}
	l.waiting, l.closed = nil, true
	return waiting
}

// Closed reports whether the lane was closed.
func (l *Queue) Closed() bool { return l.closed }

// Idle reports whether nothing runs or waits.
func (l *Queue) Idle() bool {
	return l.sharedRunning == 0 && !l.exclusiveRunning && len(l.waiting) == 0
}

// Waiting is the number of statements that wait.
func (l *Queue) Waiting() int { return len(l.waiting) }

// Enqueue takes a statement. alone: it may leave something. It returns those that run from now on, the new
// one perhaps among them. A closed lane runs none.
func (l *Queue) Enqueue(id StatementID, exclusive bool) []StatementID {
	if l.closed {
		return nil
	}
	l.waiting = append(l.waiting, entry{id, exclusive})
	return l.startNext()
}

// Remove tells that a statement has ended, or waits no more. It returns those that run from now on.
func (l *Queue) Remove(id StatementID) []StatementID {
	if exclusive, ok := l.running[id]; ok {
		delete(l.running, id)
		if exclusive {
			l.exclusiveRunning = false
		} else {
			l.sharedRunning--
		}
		return l.startNext()
	}
	for i, e := range l.waiting {
		if e.id == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	return l.startNext()
}

func (l *Queue) startNext() (run []StatementID) {
	if l.running == nil {
		l.running = map[StatementID]bool{}
	}
	for len(l.waiting) > 0 && !l.exclusiveRunning {
		e := l.waiting[0]
		exclusive := e.exclusive || l.sticky
		if exclusive && l.sharedRunning > 0 {
			break
		}
		l.waiting = l.waiting[1:]
		l.running[e.id] = exclusive
		if exclusive {
			l.exclusiveRunning = true
		} else {
			l.sharedRunning++
		}
		run = append(run, e.id)
	}
	return run
}
