// Package statementqueue decides which statement of a session runs now. A Flight client asks for many things of one
// session at once, and an engine's connection does one after the other. Statements that leave nothing share
// the lane; one that may leave something, or needs what was left, has it alone. Nobody overtakes: one that
// waits for the lane alone holds later ones back, so that a flood of plain ones cannot starve it. It does no
// I/O and has no clock.
package statementqueue

// ID names a statement.
type ID uint64

type entry struct {
	id    ID
	alone bool
}

// Lane is one session's lane. The zero value is free. It is for one goroutine at a time.
type Lane struct {
	shared  int // running
	alone   bool
	waiting []entry
	at      map[ID]bool // running ones; true: alone
	bound   bool
	closed  bool
}

// Bind tells that the session is kept on an engine's connection from here on, or is no more. Where it is,
// every statement has the lane alone.
func (l *Lane) Bind(bound bool) { l.bound = bound }

// Close has no further statement run. It returns those that wait; each is to be told so.
func (l *Lane) Close() (waiting []ID) {
	for _, e := range l.waiting {
		waiting = append(waiting, e.id)
	}
	l.waiting, l.closed = nil, true
	return waiting
}

// Closed reports whether the lane was closed.
func (l *Lane) Closed() bool { return l.closed }

// Idle reports whether nothing runs or waits.
func (l *Lane) Idle() bool { return l.shared == 0 && !l.alone && len(l.waiting) == 0 }

// Waiting is the number of statements that wait.
func (l *Lane) Waiting() int { return len(l.waiting) }

// Enter takes a statement. alone: it may leave something. It returns those that run from now on, the new one
// perhaps among them. A closed lane runs none.
func (l *Lane) Enter(id ID, alone bool) []ID {
	if l.closed {
		return nil
	}
	l.waiting = append(l.waiting, entry{id, alone})
	return l.next()
}

// Leave tells that a statement has ended, or waits no more. It returns those that run from now on.
func (l *Lane) Leave(id ID) []ID {
	if alone, ok := l.at[id]; ok {
		delete(l.at, id)
		if alone {
			l.alone = false
		} else {
			l.shared--
		}
		return l.next()
	}
	for i, e := range l.waiting {
		if e.id == id {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			break
		}
	}
	return l.next()
}

func (l *Lane) next() (run []ID) {
	if l.at == nil {
		l.at = map[ID]bool{}
	}
	for len(l.waiting) > 0 && !l.alone {
		e := l.waiting[0]
		alone := e.alone || l.bound
		if alone && l.shared > 0 {
			break
		}
		l.waiting = l.waiting[1:]
		l.at[e.id] = alone
		if alone {
			l.alone = true
		} else {
			l.shared++
		}
		run = append(run, e.id)
	}
	return run
}
