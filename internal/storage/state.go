package storage

import (
	"cmp"
	"slices"
	"time"

	"cresspass/internal/affinity/orphanedsession"
)

const (
	// MaxIncarnations bounds the remembered incarnations of a dispatcher that crashes repeatedly.
	MaxIncarnations = 50
	// MaxPendingWrites bounds the remembered writes; beyond it the oldest is forgotten. It bounds the
	// remembered sticky sessions as well; beyond it a new session is not added.
	MaxPendingWrites = 10000
	// unknownAge is the age that counts for a model state whose time is in the future, because the clock was
	// set back.
	unknownAge = time.Hour
)

// State is the result of applying the records of a log in order. It does no I/O, reads no clock, and is not
// safe for concurrent use.
type State struct {
	pendingWrites    map[uint64]WriteAttempt
	modelState       []byte // nil: none
	modelStateAt     time.Time
	lastIncarnation  uint64
	cleanShutdown    bool
	incarnationNames []string // of incarnations whose sessions may still be open on engines
	stickySessions   map[uint64]orphanedsession.Session
}

// NewState returns the state of an empty log, which counts as cleanly shut down.
func NewState() *State {
	return &State{pendingWrites: map[uint64]WriteAttempt{},
		stickySessions: map[uint64]orphanedsession.Session{}, cleanShutdown: true}
}

// Apply applies records in their order. Records that cannot be read are skipped and counted.
func (s *State) Apply(records []Record) (unreadable int) {
	for _, r := range records {
		s.cleanShutdown = false
		if !s.apply(r) {
			unreadable++
		}
	}
	return unreadable
}

// apply applies one record, and reports whether it could be read.
func (s *State) apply(r Record) (ok bool) {
	var id uint64
	switch r.Kind {
	case kindWriteSent:
		return s.addPendingWrite(r.Payload)
	case kindWriteEnded:
		if id, ok = decodeID(r.Payload); ok {
			delete(s.pendingWrites, id)
		}
		return ok
	case kindStickySession:
		return s.addStickySession(r.Payload)
	case kindSessionReleased:
		if id, ok = decodeID(r.Payload); ok {
			delete(s.stickySessions, id)
		}
		return ok
	case kindModelState:
		at, data, ok := decodeModelState(r.Payload)
		if ok {
			s.modelStateAt, s.modelState = at, append([]byte(nil), data...)
		}
		return ok
	case kindIncarnationNumber:
		if id, ok = decodeID(r.Payload); ok {
			s.lastIncarnation = max(s.lastIncarnation, id)
		}
		return ok
	case kindIncarnationName:
		return s.addIncarnation(string(r.Payload))
	case kindOrphansCleaned:
		if n := len(s.incarnationNames); n > 1 {
			s.incarnationNames = s.incarnationNames[n-1:]
		}
		return true
	case kindCleanShutdown: // connections to engines were closed, which ended their sessions
		s.cleanShutdown, s.incarnationNames = true, nil
		clear(s.stickySessions)
		return true
	}
	return false
}

func (s *State) addPendingWrite(payload []byte) bool {
	w, ok := decodeWriteSent(payload)
	if !ok {
		return false
	}
	s.pendingWrites[w.ID] = w
	if len(s.pendingWrites) > MaxPendingWrites {
		s.forgetOldestWrite()
	}
	return true
}

func (s *State) forgetOldestWrite() {
	var oldest *WriteAttempt
	for _, w := range s.pendingWrites {
		if oldest == nil || w.SentAt.Before(oldest.SentAt) {
			oldest = &w
		}
	}
	delete(s.pendingWrites, oldest.ID)
}

func (s *State) addStickySession(payload []byte) bool {
	session, ok := decodeStickySession(payload)
	if ok && len(s.stickySessions) < MaxPendingWrites {
		s.stickySessions[session.ID] = session
	}
	return ok
}

func (s *State) addIncarnation(name string) bool {
	if name == "" {
		return false
	}
	if s.incarnationNames = append(s.incarnationNames, name); len(s.incarnationNames) > MaxIncarnations {
		s.incarnationNames = s.incarnationNames[1:]
	}
	return true
}

// Compacted returns the fewest records that produce this state. It leaves out clean shutdowns, and writes
// whose window is over.
func (s *State) Compacted(now Instant) (records []Record) {
	if s.modelState != nil {
		records = append(records, ModelStateRecord(s.modelStateAt, s.modelState))
	}
	if s.lastIncarnation > 0 {
		records = append(records, IncarnationNumberRecord(s.lastIncarnation))
	}
	for _, name := range s.incarnationNames {
		records = append(records, IncarnationNameRecord(name))
	}
	for _, session := range s.StickySessions() {
		records = append(records, StickySessionRecord(session))
	}
	for _, w := range s.PendingWrites(now) {
		records = append(records, WriteSentRecord(w))
	}
	return records
}

// IncarnationNames returns the incarnations whose sessions may still be open on engines, as the
// application_name of their connections.
func (s *State) IncarnationNames() []string { return s.incarnationNames }

// StickySessions returns the sessions that were bound to engine connections when the last incarnation ended,
// sorted by ID.
func (s *State) StickySessions() (sessions []orphanedsession.Session) {
	for _, session := range s.stickySessions {
		sessions = append(sessions, session)
	}
	slices.SortFunc(sessions, func(a, b orphanedsession.Session) int { return cmp.Compare(a.ID, b.ID) })
	return sessions
}

// PendingWrites returns the writes whose outcome is unknown and whose deduplication window is not over, the
// earliest first. A write whose age counts as zero, because the wall clock was set back or the machine was
// rebooted since it was sent, counts as sent now. So it is forgotten one window later, and not only when the
// clock has caught up.
func (s *State) PendingWrites(now Instant) (writes []WriteAttempt) {
	for _, w := range s.pendingWrites {
		age := now.Sub(w.sentInstant())
		if age == 0 {
			w.SentAt, w.BootID, w.SentSinceBoot = now.Wall, now.BootID, now.SinceBoot
		}
		if age <= w.Window {
			writes = append(writes, w)
		}
	}
	slices.SortFunc(writes, func(a, b WriteAttempt) int {
		return cmp.Or(a.SentAt.Compare(b.SentAt), cmp.Compare(a.ID, b.ID))
	})
	return writes
}

// ModelState returns what the decision module had learned, and its age; nil: nothing was learned. If the time
// of the state is in the future, because the clock was set back, the age is not known and counts as
// unknownAge.
func (s *State) ModelState(now time.Time) (data []byte, age time.Duration) {
	if age = now.Sub(s.modelStateAt); age < 0 {
		age = unknownAge
	}
	return s.modelState, age
}

// LastIncarnation returns the greatest number of an incarnation; 0: none is known.
func (s *State) LastIncarnation() uint64 { return s.lastIncarnation }

// CleanShutdown reports whether the dispatcher was shut down cleanly, or has never run.
func (s *State) CleanShutdown() bool { return s.cleanShutdown }
