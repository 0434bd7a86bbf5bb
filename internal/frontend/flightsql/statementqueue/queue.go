// Package statementqueue decides which statement of a session runs now. A Flight client may send many
// statements of one session at once, but an engine connection runs them one after another. Statements that
// leave no session state run concurrently. A statement that may leave state, or needs state that was left,
// runs exclusively. Statements start in the order of their arrival: a statement that waits to run exclusively
// holds later statements back, so that a flood of them cannot starve it. The package does no I/O and has no
// clock.
package statementqueue

// StatementID identifies a statement.
type StatementID uint64

// entry is a statement that waits.
type entry struct {
	id        StatementID
	exclusive bool
}

// Queue holds the statements of one session or transaction. The zero value is an empty queue. It is not safe
// for concurrent use.
type Queue struct {
	waiting          []entry
	running          map[StatementID]bool // true: it runs exclusively
	sharedRunning    int
	exclusiveRunning bool
	sticky           bool
	closed           bool
}

// SetSticky sets whether the session is bound to an engine connection. While it is, every statement that
// starts runs exclusively.
func (q *Queue) SetSticky(sticky bool) { q.sticky = sticky }

// Close closes the queue: no further statement starts. It returns the statements that waited, which the
// caller has to answer.
func (q *Queue) Close() (waiting []StatementID) {
	for _, e := range q.waiting {
		waiting = append(waiting, e.id)
	}
	q.waiting, q.closed = nil, true
	return waiting
}

// Idle reports whether no statement runs or waits.
func (q *Queue) Idle() bool {
	return q.sharedRunning == 0 && !q.exclusiveRunning && len(q.waiting) == 0
}

// Waiting returns the number of statements that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Enqueue adds a statement and returns the statements that start now, which may include the new one.
// exclusive means that the statement may leave session state or needs state that was left, so it must run
// exclusively. A closed queue starts none.
func (q *Queue) Enqueue(id StatementID, exclusive bool) (started []StatementID) {
	if q.closed {
		return nil
	}
	q.waiting = append(q.waiting, entry{id, exclusive})
	return q.startNext()
}

// Remove removes a statement that has ended or no longer waits, and returns the statements that start now.
func (q *Queue) Remove(id StatementID) (started []StatementID) {
	if exclusive, ok := q.running[id]; ok {
		delete(q.running, id)
		if exclusive {
			q.exclusiveRunning = false
		} else {
			q.sharedRunning--
		}
		return q.startNext()
	}
	for i, e := range q.waiting {
		if e.id == id {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	return q.startNext()
}

// startNext starts the statements that may run now, in order of arrival, and returns them.
func (q *Queue) startNext() (started []StatementID) {
	if q.running == nil {
		q.running = map[StatementID]bool{}
	}
	for len(q.waiting) > 0 && !q.exclusiveRunning {
		next := q.waiting[0]
		exclusive := next.exclusive || q.sticky
		if exclusive && q.sharedRunning > 0 {
			break
		}
		q.waiting = q.waiting[1:]
		q.running[next.id] = exclusive
		if exclusive {
			q.exclusiveRunning = true
		} else {
			q.sharedRunning++
		}
		started = append(started, next.id)
	}
	return started
}
