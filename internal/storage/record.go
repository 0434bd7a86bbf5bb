package storage

import (
	"encoding/binary"
	"encoding/json"
	"time"

	"cresspass/internal/affinity/orphanedsession"
)

// Kind is the kind of a record and determines its payload. The numbers are stored in logs, so their meaning
// must not change.
type Kind byte

// The kinds of record.
const (
	kindWriteSent         Kind = 1 // a write is about to be sent: ID, then the WriteAttempt as JSON
	kindWriteEnded        Kind = 2 // the outcome of a write is known: ID
	kindModelState        Kind = 3 // what the decision module has learned: time, then its opaque bytes
	kindCleanShutdown     Kind = 4 // the dispatcher shut down cleanly
	kindIncarnationName   Kind = 5 // an incarnation started: application_name of its connections to engines
	kindStickySession     Kind = 6 // a session is bound to an engine connection: ID, then the session as JSON
	kindSessionReleased   Kind = 7 // a session is no longer bound: ID
	kindOrphansCleaned    Kind = 8 // the sessions of all incarnations but the latest have been ended
	kindIncarnationNumber Kind = 9 // an incarnation started: its number
)

// Record is one entry of the log.
type Record struct {
	Kind    Kind
	Payload []byte
}

// idSize is the length in bytes of the number at the start of most payloads.
const idSize = 8

// WriteAttempt is an attempt of a query that must not run twice, or that must run in the order of its key.
// The outcome of the attempt is not known yet.
type WriteAttempt struct {
	ID     uint64    `json:"-"`
	Class  string    `json:"class"`
	Key    string    `json:"key"`  // ordering key; "" means none
	Hash   uint64    `json:"hash"` // of text and parameters, the same for a repeated query
	Engine string    `json:"engine"`
	SentAt time.Time `json:"at"` // by the wall clock
	// BootID identifies the machine's boot during which the write was sent, and SentSinceBoot is the time
	// from that boot to SentAt. An empty BootID means that they are not known.
	BootID        string        `json:"boot,omitempty"`
	SentSinceBoot time.Duration `json:"up,omitempty"`
	// Window is how long engines drop repeats of the write.
	Window time.Duration `json:"window"`
	// AllEngines is set if every engine drops repeats of the write, not only one group of engines.
	AllEngines bool `json:"all"`
}

// sentInstant returns when the write was sent.
func (w *WriteAttempt) sentInstant() Instant { return Instant{w.SentAt, w.BootID, w.SentSinceBoot} }

// WriteSentRecord returns the record of a write that is about to be sent.
func WriteSentRecord(w WriteAttempt) Record {
	body, _ := json.Marshal(w) // cannot fail for these field types
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

// ModelStateRecord returns the record of what the decision module had learned at a time. The time is stored
// in milliseconds.
func ModelStateRecord(at time.Time, data []byte) Record {
	return Record{kindModelState, append(encodeID(uint64(at.UnixMilli())), data...)}
}

func decodeModelState(payload []byte) (at time.Time, data []byte, ok bool) {
	if len(payload) < idSize {
		return time.Time{}, nil, false
	}
	return time.UnixMilli(int64(binary.LittleEndian.Uint64(payload))), payload[idSize:], true
}

// IncarnationNumberRecord returns the record of an incarnation's number, which must be greater than the
// numbers of all incarnations before it.
func IncarnationNumberRecord(n uint64) Record { return Record{kindIncarnationNumber, encodeID(n)} }

// IncarnationNameRecord returns the record of an incarnation that starts. name is the application_name of its
// connections to engines.
func IncarnationNameRecord(name string) Record { return Record{kindIncarnationName, []byte(name)} }

// StickySessionRecord returns the record of a session that is bound to an engine connection.
func StickySessionRecord(session orphanedsession.Session) Record {
	body, _ := json.Marshal(session) // cannot fail for these field types
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

// OrphansCleanedRecord returns the record of a finished cleanup: of all incarnations only the latest may have
// sessions open on engines.
func OrphansCleanedRecord() Record { return Record{kindOrphansCleaned, nil} }

// CleanShutdownRecord returns the record of a clean shutdown of the dispatcher.
func CleanShutdownRecord() Record { return Record{kindCleanShutdown, nil} }

func encodeID(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// decodeID decodes a payload that consists of one number.
func decodeID(payload []byte) (id uint64, ok bool) {
	if len(payload) != idSize {
		return 0, false
	}
	return binary.LittleEndian.Uint64(payload), true
}
