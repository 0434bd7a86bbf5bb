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
	kindSent    Kind = 1 // a load was sent: id, then the load as JSON
	kindEnded   Kind = 2 // its end is known: id
	kindLearnt  Kind = 3 // what the module had learnt: time, then its own opaque form
	kindStopped Kind = 4 // the dispatcher ended in good order
	kindLife    Kind = 5 // a life began: the application_name of its connections to engines
	kindKept    Kind = 6 // a session is kept on an engine: id, then the session as JSON
	kindFreed   Kind = 7 // it is no more: id
	kindBorn    Kind = 9 // a life's number
	kindSwept   Kind = 8 // the orphans of all lives up to here are ended, but those still kept
)

// Load is an attempt of a query that must not run twice, or whose key must rest, and whose end is not known.
type Load struct {
	ID     uint64        `json:"-"`
	Class  string        `json:"class"`
	Key    string        `json:"key"`
	Hash   uint64        `json:"hash"` // of its text and parameters: the same load again has the same
	Engine string        `json:"engine"`
	At     time.Time     `json:"at"` // when it was sent, by the wall clock
	Boot   string        `json:"boot,omitempty"`
	Up     time.Duration `json:"up,omitempty"` // when it was sent, since the machine's boot
	Window time.Duration `json:"window"`       // how long engines drop its repeats
	All    bool          `json:"all"`          // all engines drop its repeats, not one group only
}

// Book is what is in force of the records. It is the state's decisions: what is remembered, for how long, and
// what a dispatcher that came back may do. It does no I/O and reads no clock.
type Book struct {
	loads  map[uint64]Load
	learnt []byte
	at     time.Time // of learnt
	born   uint64    // greatest number of a life
	clean  bool

	lives []string // whose sessions may stand at engines yet
	kept  map[uint64]orphanedsession.Session
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{loads: map[uint64]Load{}, kept: map[uint64]orphanedsession.Session{}, clean: true}
}

// LivesMost bounds the lives that are remembered, of a dispatcher that dies again and again.
const LivesMost = 50

// LoadsMost bounds the loads that are remembered; beyond it the oldest is forgotten. No more sessions are.
const LoadsMost = 10000

// Take takes in records in their order. One that cannot be read is passed over and counted.
func (b *Book) Take(records []Record) (odd int) {
	for _, r := range records {
		b.clean = false
		switch {
		case r.Kind == kindStopped: // its connections are closed
			b.clean, b.lives = true, nil
			clear(b.kept)
		case r.Kind == kindBorn && len(r.Payload) == 8:
			b.born = max(b.born, binary.LittleEndian.Uint64(r.Payload))
		case r.Kind == kindLife && len(r.Payload) > 0:
			if b.lives = append(b.lives, string(r.Payload)); len(b.lives) > LivesMost {
				b.lives = b.lives[1:]
			}
		case r.Kind == kindSwept:
			if n := len(b.lives); n > 1 {
				b.lives = b.lives[n-1:]
			}
		case r.Kind == kindFreed && len(r.Payload) == 8:
			delete(b.kept, binary.LittleEndian.Uint64(r.Payload))
		case r.Kind == kindKept && len(r.Payload) > 8:
			var s orphanedsession.Session
			if json.Unmarshal(r.Payload[8:], &s) != nil {
				odd++
			} else if s.ID = binary.LittleEndian.Uint64(r.Payload); len(b.kept) < LoadsMost {
				b.kept[s.ID] = s
			}
		case r.Kind == kindLearnt && len(r.Payload) >= 8:
			b.at = time.UnixMilli(int64(binary.LittleEndian.Uint64(r.Payload)))
			b.learnt = append([]byte(nil), r.Payload[8:]...)
		case r.Kind == kindEnded && len(r.Payload) == 8:
			delete(b.loads, binary.LittleEndian.Uint64(r.Payload))
		case r.Kind == kindSent && len(r.Payload) > 8:
			var l Load
			if json.Unmarshal(r.Payload[8:], &l) != nil {
				odd++
				continue
			}
			l.ID = binary.LittleEndian.Uint64(r.Payload)
			b.loads[l.ID] = l
			if len(b.loads) > LoadsMost {
				b.forgetOldest()
			}
		default:
			odd++
		}
	}
	return odd
}

func (b *Book) forgetOldest() {
	var oldest *Load
	for _, l := range b.loads {
		if oldest == nil || l.At.Before(oldest.At) {
			oldest = &l
		}
	}
	delete(b.loads, oldest.ID)
}

// Records returns the fewest records that say what is in force.
func (b *Book) Records(now Instant) (out []Record) {
	if b.learnt != nil {
		out = append(out, Learnt(b.at, b.learnt))
	}
	if b.born > 0 {
		out = append(out, Born(b.born))
	}
	for _, life := range b.lives {
		out = append(out, Life(life))
	}
	for _, s := range b.Kept() {
		out = append(out, Kept(s))
	}
	for _, l := range b.Open(now) {
		out = append(out, Sent(l))
	}
	return out
}

// Lives returns the names of lives whose sessions may stand at engines yet.
func (b *Book) Lives() []string { return b.lives }

// Kept returns the sessions kept on engines when the last life ended, by ID.
func (b *Book) Kept() (out []orphanedsession.Session) {
	for _, s := range b.kept {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Open returns the loads whose end is not known and whose window is not over, the earliest first. Danger: the
// wall clock may have jumped. A load from the future counts as sent now; it is forgotten a window later, not
// an hour.
func (b *Book) Open(now Instant) (out []Load) {
	for _, l := range b.loads {
		age := now.Sub(l.sent())
		if age == 0 {
			l.At, l.Boot, l.Up = now.Wall, now.Boot, now.Up
		}
		if age <= l.Window {
			out = append(out, l)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].At.Before(out[j].At) || out[i].At.Equal(out[j].At) && out[i].ID < out[j].ID
	})
	return out
}

// sent is when the load was sent.
func (l *Load) sent() Instant { return Instant{l.At, l.Boot, l.Up} }

// Learnt returns what the module had learnt and how old that is; nil: nothing. An age below zero, after a
// clock that jumped back, counts as an hour: nobody knows it.
func (b *Book) Learnt(now time.Time) (data []byte, age time.Duration) {
	if age = now.Sub(b.at); age < 0 {
		age = time.Hour
	}
	return b.learnt, age
}

// Born is the greatest number that a life has had.
func (b *Book) Born() uint64 { return b.born }

// Clean reports whether the dispatcher had ended in good order.
func (b *Book) Clean() bool { return b.clean }

// Sent is the record of a load that is being sent.
func Sent(l Load) Record {
	body, _ := json.Marshal(l) // plain fields cannot fail
	return Record{kindSent, append(binary.LittleEndian.AppendUint64(nil, l.ID), body...)}
}

// Ended is the record of a load whose end is known.
func Ended(id uint64) Record { return Record{kindEnded, binary.LittleEndian.AppendUint64(nil, id)} }

// Learnt is the record of what the module has learnt at a time.
func Learnt(at time.Time, data []byte) Record {
	return Record{kindLearnt, append(binary.LittleEndian.AppendUint64(nil, uint64(at.UnixMilli())), data...)}
}

// Born is the record of a life's number, greater than that of any before.
func Born(n uint64) Record { return Record{kindBorn, binary.LittleEndian.AppendUint64(nil, n)} }

// Life is the record of a life's begin, by the application_name of its connections.
func Life(name string) Record { return Record{kindLife, []byte(name)} }

// Kept is the record of a session that is kept on an engine.
func Kept(s orphanedsession.Session) Record {
	body, _ := json.Marshal(s)
	return Record{kindKept, append(binary.LittleEndian.AppendUint64(nil, s.ID), body...)}
}

// Freed is the record of a session that is no longer kept.
func Freed(id uint64) Record { return Record{kindFreed, binary.LittleEndian.AppendUint64(nil, id)} }

// Swept is the record of a hunt that is over: of all lives only the last may have sessions at engines.
func Swept() Record { return Record{kindSwept, nil} }

// Stopped is the record of an end in good order.
func Stopped() Record { return Record{kindStopped, nil} }

// Verdict is what a dispatcher that came back may do with a query.
type Verdict int

// The verdicts.
const (
	Go   Verdict = iota // as any other
	Rest                // hold it so long: its key rests
	// refuse it, with that come-back time: it may have run in a group that is not to be left
	Refuse
)

// Returned decides over the queries that come to a dispatcher after its death. All its times are since its
// return, by a clock that does not step.
type Returned struct {
	rest  time.Duration
	loads []remembered
}

// remembered is a load with what is left of its window at the return.
type remembered struct {
	Load
	left time.Duration
}

// Return returns the decisions of a dispatcher that came back at a time with a book; rest is the rest of a
// key after a doubtful end.
func Return(b *Book, back Instant, rest time.Duration) *Returned {
	r := &Returned{rest: rest}
	for _, l := range b.Open(back) {
		r.loads = append(r.loads, remembered{l, l.Window - back.Sub(l.sent())})
	}
	return r
}

// Left is the number of loads that still count.
func (r *Returned) Left() int { return len(r.loads) }

// Judge says what may be done, so long after the return, with a query of a class with a key and a hash of its
// text, and for how long.
// Its own dispatcher's death is a doubtful end of what was out: the key rests from the return. The same load
// again is harmless only where engines still drop it; where only one group does, the module cannot be told
// which, so it is refused until the window is over. A refusal promises that a later try is harmless, and it
// is: by then the window's owner has either run it or not, and the client's next try is a new load by its own
// word.
func (r *Returned) Judge(since time.Duration, class, key string, hash uint64) (Verdict, time.Duration) {
	if len(r.loads) == 0 {
		return Go, 0
	}
	kept := r.loads[:0]
	verdict, wait := Go, time.Duration(0)
	for _, l := range r.loads {
		left := l.left - since
		if left <= 0 && since >= r.rest {
			continue
		}
		kept = append(kept, l)
		if l.Class == class && l.Hash == hash && hash != 0 && !l.All && left > 0 {
			verdict, wait = Refuse, max(wait, left)
		}
		if rest := r.rest - since; verdict != Refuse && key != "" && l.Key == key && rest > 0 {
			verdict, wait = Rest, max(wait, rest)
		}
	}
	r.loads = kept
	return verdict, wait
}
