package storage

import (
	"encoding/binary"
	"encoding/json"
	"sort"
	"time"

	"cresspass/internal/affinity/orphanedsession"
)

// The kinds of record.
const (
	kindWriteSent         Kind = 1 // a load was sent: id, then the load as JSON
	kindWriteEnded        Kind = 2 // its end is known: id
	kindModelState        Kind = 3 // what the module had learnt: time, then its own opaque form
	kindCleanShutdown     Kind = 4 // the dispatcher ended in good order
	kindIncarnationName   Kind = 5 // a life began: the application_name of its connections to engines
	kindStickySession     Kind = 6 // a session is kept on an engine: id, then the session as JSON
	kindSessionReleased   Kind = 7 // it is no more: id
	kindIncarnationNumber Kind = 9 // a life's number
	kindOrphansCleaned    Kind = 8 // the orphans of all lives up to here are ended, but those still kept
)

// WriteAttempt is an attempt of a query that must not run twice, or whose key must rest, and whose end is
// not known.
type WriteAttempt struct {
	ID            uint64        `json:"-"`
	Class         string        `json:"class"`
	Key           string        `json:"key"`
	Hash          uint64        `json:"hash"` // of its text and parameters: the same load again has the same
	Engine        string        `json:"engine"`
	SentAt        time.Time     `json:"at"` // when it was sent, by the wall clock
	BootID        string        `json:"boot,omitempty"`
	SentSinceBoot time.Duration `json:"up,omitempty"` // when it was sent, since the machine's boot
	Window        time.Duration `json:"window"`       // how long engines drop its repeats
	AllEngines    bool          `json:"all"`          // all engines drop its repeats, not one group only
}

// State is what is in force of the records. It is the state's decisions: what is remembered, for how long,
// and what a dispatcher that came back may do. It does no I/O and reads no clock.
type State struct {
	pendingWrites   map[uint64]WriteAttempt
	modelState      []byte
	modelStateAt    time.Time // of learnt
	lastIncarnation uint64    // greatest number of a life
	cleanShutdown   bool

	incarnationNames []string // whose sessions may stand at engines yet
	stickySessions   map[uint64]orphanedsession.Session
}

// NewState returns an empty book.
func NewState() *State {
	return &State{
		pendingWrites:  map[uint64]WriteAttempt{},
		stickySessions: map[uint64]orphanedsession.Session{},
		cleanShutdown:  true,
	}
}

// MaxIncarnations bounds the lives that are remembered, of a dispatcher that dies again and again.
const MaxIncarnations = 50

// MaxPendingWrites bounds the loads that are remembered; beyond it the oldest is forgotten. No more sessions
// are.
const MaxPendingWrites = 10000

// Apply takes in records in their order. One that cannot be read is passed over and counted.
func (b *State) Apply(records []Record) (unreadable int) {
	for _, r := range records {
		b.cleanShutdown = false
		switch {
		case r.Kind == kindCleanShutdown: // its connections are closed
			b.cleanShutdown, b.incarnationNames = true, nil
			clear(b.stickySessions)
		case r.Kind == kindIncarnationNumber && len(r.Payload) == 8:
			b.lastIncarnation = max(b.lastIncarnation, binary.LittleEndian.Uint64(r.Payload))
		case r.Kind == kindIncarnationName && len(r.Payload) > 0:
			if b.incarnationNames = append(b.incarnationNames, string(r.Payload)); len(
				b.incarnationNames,
			) > MaxIncarnations {
				b.incarnationNames = b.incarnationNames[1:]
			}
		case r.Kind == kindOrphansCleaned:
			if n := len(b.incarnationNames); n > 1 {
				b.incarnationNames = b.incarnationNames[n-1:]
			}
		case r.Kind == kindSessionReleased && len(r.Payload) == 8:
			delete(b.stickySessions, binary.LittleEndian.Uint64(r.Payload))
		case r.Kind == kindStickySession && len(r.Payload) > 8:
			var s orphanedsession.Session
			if json.Unmarshal(r.Payload[8:], &s) != nil {
				unreadable++
			} else if s.ID = binary.LittleEndian.Uint64(r.Payload); len(b.stickySessions) < MaxPendingWrites {
				b.stickySessions[s.ID] = s
			}
		case r.Kind == kindModelState && len(r.Payload) >= 8:
			b.modelStateAt = time.UnixMilli(int64(binary.LittleEndian.Uint64(r.Payload)))
			b.modelState = append([]byte(nil), r.Payload[8:]...)
		case r.Kind == kindWriteEnded && len(r.Payload) == 8:
			delete(b.pendingWrites, binary.LittleEndian.Uint64(r.Payload))
		case r.Kind == kindWriteSent && len(r.Payload) > 8:
			var l WriteAttempt
			if json.Unmarshal(r.Payload[8:], &l) != nil {
				unreadable++
				continue
			}
			l.ID = binary.LittleEndian.Uint64(r.Payload)
			b.pendingWrites[l.ID] = l
			if len(b.pendingWrites) > MaxPendingWrites {
				b.forgetOldestWrite()
			}
		default:
			unreadable++
		}
	}
	return unreadable
}

func (b *State) forgetOldestWrite() {
	var oldest *WriteAttempt
	for _, l := range b.pendingWrites {
		if oldest == nil || l.SentAt.Before(oldest.SentAt) {
			oldest = &l
		}
	}
	delete(b.pendingWrites, oldest.ID)
}

// Compacted returns the fewest records that say what is in force.
func (b *State) Compacted(now Instant) (out []Record) {
	if b.modelState != nil {
		out = append(out, ModelStateRecord(b.modelStateAt, b.modelState))
	}
	if b.lastIncarnation > 0 {
		out = append(out, IncarnationNumberRecord(b.lastIncarnation))
	}
	for _, life := range b.incarnationNames {
		out = append(out, IncarnationNameRecord(life))
	}
	for _, s := range b.StickySessions() {
		out = append(out, StickySessionRecord(s))
	}
	for _, l := range b.PendingWrites(now) {
		out = append(out, WriteSentRecord(l))
	}
	return out
}

// IncarnationNames returns the names of lives whose sessions may stand at engines yet.
func (b *State) IncarnationNames() []string { return b.incarnationNames }

// StickySessions returns the sessions kept on engines when the last life ended, by ID.
func (b *State) StickySessions() (out []orphanedsession.Session) {
	for _, s := range b.stickySessions {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// PendingWrites returns the loads whose end is not known and whose window is not over, the earliest first.
// Danger: the wall clock may have jumped. A load from the future counts as sent now; it is forgotten a
// window later, not an hour.
func (b *State) PendingWrites(now Instant) (out []WriteAttempt) {
	for _, l := range b.pendingWrites {
		age := now.Sub(l.sentInstant())
		if age == 0 {
			l.SentAt, l.BootID, l.SentSinceBoot = now.Wall, now.BootID, now.SinceBoot
		}
		if age <= l.Window {
			out = append(out, l)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].SentAt.Before(out[j].SentAt) ||
			out[i].SentAt.Equal(out[j].SentAt) && out[i].ID < out[j].ID
	})
	return out
}

// sentInstant is when the load was sent.
func (l *WriteAttempt) sentInstant() Instant { return Instant{l.SentAt, l.BootID, l.SentSinceBoot} }

// ModelState returns what the module had learnt and how old that is; nil: nothing. An age below zero, after a
// clock that jumped back, counts as an hour: nobody knows it.
func (b *State) ModelState(now time.Time) (data []byte, age time.Duration) {
	if age = now.Sub(b.modelStateAt); age < 0 {
		age = time.Hour
	}
	return b.modelState, age
}

// LastIncarnation is the greatest number that a life has had.
func (b *State) LastIncarnation() uint64 { return b.lastIncarnation }

// CleanShutdown reports whether the dispatcher had ended in good order.
func (b *State) CleanShutdown() bool { return b.cleanShutdown }

// WriteSentRecord is the record of a load that is being sent.
func WriteSentRecord(l WriteAttempt) Record {
	body, _ := json.Marshal(l) // plain fields cannot fail
	return Record{kindWriteSent, append(binary.LittleEndian.AppendUint64(nil, l.ID), body...)}
}

// WriteEndedRecord is the record of a load whose end is known.
func WriteEndedRecord(id uint64) Record {
	return Record{kindWriteEnded, binary.LittleEndian.AppendUint64(nil, id)}
}

// ModelStateRecord is the record of what the module has learnt at a time.
func ModelStateRecord(at time.Time, data []byte) Record {
	return Record{
		kindModelState,
		append(binary.LittleEndian.AppendUint64(nil, uint64(at.UnixMilli())), data...),
	}
}

// IncarnationNumberRecord is the record of a life's number, greater than that of any before.
func IncarnationNumberRecord(n uint64) Record {
	return Record{kindIncarnationNumber, binary.LittleEndian.AppendUint64(nil, n)}
}

// IncarnationNameRecord is the record of a life's begin, by the application_name of its connections.
func IncarnationNameRecord(name string) Record { return Record{kindIncarnationName, []byte(name)} }

// StickySessionRecord is the record of a session that is kept on an engine.
func StickySessionRecord(s orphanedsession.Session) Record {
	body, _ := json.Marshal(s)
	return Record{kindStickySession, append(binary.LittleEndian.AppendUint64(nil, s.ID), body...)}
}

// SessionReleasedRecord is the record of a session that is no longer kept.
func SessionReleasedRecord(id uint64) Record {
	return Record{kindSessionReleased, binary.LittleEndian.AppendUint64(nil, id)}
}

// OrphansCleanedRecord is the record of a hunt that is over: of all lives only the last may have sessions at
// engines.
func OrphansCleanedRecord() Record { return Record{kindOrphansCleaned, nil} }

// CleanShutdownRecord is the record of an end in good order.
func CleanShutdownRecord() Record { return Record{kindCleanShutdown, nil} }

// Decision is what a dispatcher that came back may do with a query.
type Decision int

// The verdicts.
const (
	Allow Decision = iota // as any other
	Delay                 // hold it so long: its key rests
	// refuse it, with that come-back time: it may have run in a group that is not to be left
	Reject
)

// RecoveryGuard decides over the queries that come to a dispatcher after its death. All its times are since
// its return, by a clock that does not step.
type RecoveryGuard struct {
	keyCooldown time.Duration
	writes      []recoveredWrite
}

// recoveredWrite is a load with what is left of its window at the return.
type recoveredWrite struct {
	WriteAttempt
	windowLeft time.Duration
}

// NewRecoveryGuard returns the decisions of a dispatcher that came back at a time with a book; rest is the
// rest of a key after a doubtful end.
func NewRecoveryGuard(b *State, restartedAt Instant, keyCooldown time.Duration) *RecoveryGuard {
	r := &RecoveryGuard{keyCooldown: keyCooldown}
	for _, l := range b.PendingWrites(restartedAt) {
		r.writes = append(r.writes, recoveredWrite{l, l.Window - restartedAt.Sub(l.sentInstant())})
	}
	return r
}

// Remaining is the number of loads that still count.
func (r *RecoveryGuard) Remaining() int { return len(r.writes) }

// Check says what may be done, so long after the return, with a query of a class with a key and a hash of its
// text, and for how long.
// Its own dispatcher's death is a doubtful end of what was out: the key rests from the return. The same load
// again is harmless only where engines still drop it; where only one group does, the module cannot be told
// which, so it is refused until the window is over. A refusal promises that a later try is harmless, and it
// is: by then the window's owner has either run it or not, and the client's next try is a new load by its own
// word.
func (r *RecoveryGuard) Check(
	sinceRestart time.Duration,
	class, key string,
	hash uint64,
) (Decision, time.Duration) {
	if len(r.writes) == 0 {
		return Allow, 0
	}
	remaining := r.writes[:0]
	decision, wait := Allow, time.Duration(0)
	for _, l := range r.writes {
		left := l.windowLeft - sinceRestart
		if left <= 0 && sinceRestart >= r.keyCooldown {
			continue
		}
		remaining = append(remaining, l)
		if l.Class == class && l.Hash == hash && hash != 0 && !l.AllEngines && left > 0 {
			decision, wait = Reject, max(wait, left)
		}
		if rest := r.keyCooldown - sinceRestart; decision != Reject && key != "" && l.Key == key && rest > 0 {
			decision, wait = Delay, max(wait, rest)
		}
	}
	r.writes = remaining
	return decision, wait
}
