package storage

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"cresspass/internal/affinity/orphanedsession"
)

// Kind says what a record holds. The numbers are stored, so that none may be given another meaning.
type Kind byte

// The kinds of record.
const (
	kindWriteSent         Kind = 1 // a write is being sent: ID, then the WriteAttempt as JSON
	kindWriteEnded        Kind = 2 // the outcome of a write is known: ID
	kindModelState        Kind = 3 // what the decision module has learned: time, then its own opaque form
	kindCleanShutdown     Kind = 4 // the dispatcher stopped in good order
	kindIncarnationName   Kind = 5 // an incarnation began: the application_name of its connections to engines
	kindStickySession     Kind = 6 // a session is bound to an engine connection: ID, then the session as JSON
	kindSessionReleased   Kind = 7 // a session is no longer bound: ID
	kindOrphansCleaned    Kind = 8 // the sessions of all incarnations but the last are ended
	kindIncarnationNumber Kind = 9 // an incarnation began: its number
)

// Record is one entry of the log.
type Record struct {
	Kind    Kind
	Payload []byte
}

// idSize is the length of the number with which most payloads begin.
const idSize = 8

// WriteAttempt is one attempt of a query that must not run twice, or that must run in the order of its key,
// and whose outcome is not known.
type WriteAttempt struct {
	ID     uint64    `json:"-"`
	Class  string    `json:"class"`
	Key    string    `json:"key"`  // ordering key; "" means none
	Hash   uint64    `json:"hash"` // of text and parameters; a repeated query has the same
	Engine string    `json:"engine"`
	SentAt time.Time `json:"at"` // by the wall clock
	// BootID names the machine's boot during which it was sent, and SentSinceBoot the time since then.
	BootID        string        `json:"boot,omitempty"`
	SentSinceBoot time.Duration `json:"up,omitempty"`
	// Window is how long engines drop repeats of it.
	Window time.Duration `json:"window"`
	// AllEngines says that every engine drops its repeats, and not only one group of engines.
	AllEngines bool `json:"all"`
}

// sentInstant is when the write was sent.
func (w *WriteAttempt) sentInstant() Instant { return Instant{w.SentAt, w.BootID, w.SentSinceBoot} }

// WriteSentRecord returns the record of a write that is being sent.
func WriteSentRecord(w WriteAttempt) Record {
	body, _ := json.Marshal(w) // plain fields cannot fail
	return Record{kindWriteSent, append(encodeID(w.ID), body...)}
}

func decodeWriteSent(payload []byte) (w WriteAttempt, ok bool) {
	if len(payload) <= idSize || json.Unmarshal(payload[idSize:], &w) != nil {
		return WriteAttempt{}, false
	}
	w.ID = binary.LittleEndian.Uint64(payload)
	return w, true
}

// WriteEndedRecord returns the record of a write whose outcome is known.
func WriteEndedRecord(id uint64) Record { return Record{kindWriteEnded, encodeID(id)} }

// ModelStateRecord returns the record of what the decision module has learned by a time.
func ModelStateRecord(at time.Time, data []byte) Record {
	return Record{kindModelState, append(encodeID(uint64(at.UnixMilli())), data...)}
}

func decodeModelState(payload []byte) (at time.Time, data []byte, ok bool) {
	if len(payload) < idSize {
		return time.Time{}, nil, false
	}
	return time.UnixMilli(int64(binary.LittleEndian.Uint64(payload))), payload[idSize:], true
}

// IncarnationNumberRecord returns the record of an incarnation's number, greater than that of any before it.
func IncarnationNumberRecord(n uint64) Record { return Record{kindIncarnationNumber, encodeID(n)} }

// IncarnationNameRecord returns the record of an incarnation that begins, by the application_name of its
// connections to engines.
func IncarnationNameRecord(name string) Record { return Record{kindIncarnationName, []byte(name)} }

// StickySessionRecord returns the record of a session that is bound to an engine connection.
func StickySessionRecord(session orphanedsession.Session) Record {
	body, _ := json.Marshal(session) // plain fields cannot fail
	return Record{kindStickySession, append(encodeID(session.ID), body...)}
}

func decodeStickySession(payload []byte) (session orphanedsession.Session, ok bool) {
	if len(payload) <= idSize || json.Unmarshal(payload[idSize:], &session) != nil {
		return orphanedsession.Session{}, false
	}
	session.ID = binary.LittleEndian.Uint64(payload)
	return session, true
}

// SessionReleasedRecord returns the record of a session that is no longer bound to an engine connection.
func SessionReleasedRecord(id uint64) Record { return Record{kindSessionReleased, encodeID(id)} }

// OrphansCleanedRecord returns the record of a finished cleanup: of all incarnations only the last may have
// sessions on engines.
func OrphansCleanedRecord() Record { return Record{kindOrphansCleaned, nil} }

// CleanShutdownRecord returns the record of a dispatcher that stopped in good order.
func CleanShutdownRecord() Record { return Record{kindCleanShutdown, nil} }

func encodeID(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// decodeID returns the number that is all of a payload.
func decodeID(payload []byte) (id uint64, ok bool) {
	if len(payload) != idSize {
		return 0, false
	}
	return binary.LittleEndian.Uint64(payload), true
}
