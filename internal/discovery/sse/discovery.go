// Package sse follows a notice board (service discovery by a watch): server-sent events, each a
// numbered change of the list of compute nodes. It does no I/O: bytes go into a Parser, whole events into a
// Follower, and lists for the module come out.
package sse

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

// Most is the longest event that is kept, in bytes.
const Most = 1 << 20

// byteOrderMark may stand before the first line of a stream.
const byteOrderMark = "\ufeff"

// ErrTooLong tells of an event that passes Most.
var ErrTooLong = errors.New("discovery: an event that is too long")

// Event is a whole event. HasID is false where none stood in it.
type Event struct {
	ID    uint64
	HasID bool
	Data  []byte
}

// Parser cuts a stream of server-sent events (WHATWG HTML, 9.2.6) into events. An event that the stream
// breaks off in is never given out.
type Parser struct {
	begun bool // the first line has come
	cr    bool // the last byte was a CR: an LF behind it ends no line
	line  []byte
	event Event
	lines int
}

// Feed takes bytes and calls got for each whole event; the event is valid until got returns.
func (p *Parser) Feed(b []byte, got func(Event)) error {
	for len(b) > 0 {
		if b[0] == '\n' && p.cr {
			p.cr, b = false, b[1:]
			continue
		}
		p.cr = false
		i := bytes.IndexAny(b, "\r\n")
		if i < 0 {
			p.line = append(p.line, b...)
			if len(p.line) > Most {
				return ErrTooLong
			}
			return nil
		}
		p.line = append(p.line, b[:i]...)
		p.cr = b[i] == '\r'
		b = b[i+1:]
		line := p.line
		if !p.begun {
			p.begun, line = true, bytes.TrimPrefix(line, []byte(byteOrderMark))
		}
		if err := p.whole(line, got); err != nil {
			return err
		}
		p.line = p.line[:0]
	}
	return nil
}

func (p *Parser) whole(line []byte, got func(Event)) error {
	if len(line) == 0 {
		if p.lines > 0 {
			got(p.event)
		}
		p.event, p.lines = Event{Data: p.event.Data[:0]}, 0
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		if n, err := strconv.ParseUint(string(value), 10, 63); err == nil {
			p.event.ID, p.event.HasID = n, true
		}
	case "data":
		if p.lines > 0 {
			p.event.Data = append(p.event.Data, '\n')
		}
		p.event.Data = append(p.event.Data, value...)
		p.lines++
		if len(p.event.Data) > Most {
			return ErrTooLong
		}
	}
	return nil
}

// Notice is the data of an event.
type Notice struct {
	Rev  uint64 `json:"rev"`
	Pool *Pool  `json:"pool"`
}

// Pool is a list of compute nodes, or what changed in it.
type Pool struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Server is a compute node on the notice board.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix milliseconds; 0: long ago
}

var states = map[string]cresspass.EngineState{"up": cresspass.EngineOn, "draining": cresspass.EngineDraining,
	"removed": cresspass.EngineGone}

// Verdict says what to do after an event.
type Verdict int

// The verdicts.
const (
	Taken Verdict = iota
	Known         // it was told before
	Gap           // events between are missing: ask again from Last
)

// Follower holds where a dispatcher stands on its notice board and what addresses its compute nodes have.
type Follower struct {
	last  uint64
	addrs map[cresspass.EngineID]string
	where map[cresspass.EngineID]Location
	up    map[cresspass.EngineID]bool
	gone  []cresspass.EngineID // since the last call of Gone
	now   func() time.Duration
	clock *starttime.Clock
}

// NewFollower returns a Follower; now is the module's time, clock turns starts into it.
func NewFollower(now func() time.Duration, clock *starttime.Clock) *Follower {
	return &Follower{addrs: map[cresspass.EngineID]string{}, where: map[cresspass.EngineID]Location{},
		up: map[cresspass.EngineID]bool{}, now: now, clock: clock}
}

// Last is the number of the last event taken.
func (f *Follower) Last() uint64 { return f.last }

// Addr returns the address of a compute node, as it was last told; "" where none was.
func (f *Follower) Addr(id cresspass.EngineID) string { return f.addrs[id] }

// Location is what kind of machine a compute node is, and where it stands.
type Location struct{ Kind, Zone string }

// Location returns a compute node's location, as it was last told.
func (f *Follower) Location(id cresspass.EngineID) Location { return f.where[id] }

// Len returns how many compute nodes have an address.
func (f *Follower) Len() int { return len(f.addrs) }

// Takes reports whether a compute node at an address takes new queries, as far as was told.
func (f *Follower) Takes(id cresspass.EngineID, addr string) bool {
	return f.up[id] && f.addrs[id] == addr
}

// Drains reports whether a compute node was told to drain and has not left.
func (f *Follower) Drains(id cresspass.EngineID) bool { return f.addrs[id] != "" && !f.up[id] }

// Gone returns the compute nodes that left the list since the last call. Their addresses are forgotten.
func (f *Follower) Gone() []cresspass.EngineID {
	gone := f.gone
	f.gone = nil
	return gone
}

// Take takes an event that came as it was told. The list is to be handed to the module where the verdict is
// Taken. What can't be read is an error and changes nothing.
func (f *Follower) Take(ev Event) (cresspass.Event, Verdict, error) { return f.take(ev, true) }

// TakeMissed is Take for an event that was told some time ago, while the notice board was out of reach.
func (f *Follower) TakeMissed(ev Event) (cresspass.Event, Verdict, error) { return f.take(ev, false) }

func (f *Follower) take(ev Event, fresh bool) (cresspass.Event, Verdict, error) {
	var n Notice
	if err := json.Unmarshal(ev.Data, &n); err != nil {
		return cresspass.Event{}, Gap, fmt.Errorf("discovery: event %d: %w", ev.ID, err)
	}
	if ev.HasID && ev.ID != n.Rev {
		return cresspass.Event{}, Gap, fmt.Errorf("discovery: event %d says that it is %d", ev.ID, n.Rev)
	}
	if fresh && n.Rev == f.last+1 {
		f.each(n, f.clock.Fresh)
	}
	return f.Notice(n)
}

// See takes in what the starts in a notice tell of the wall clock, and nothing else. Where several notices
// are at hand, all are seen before the first is taken.
func (f *Follower) See(n Notice) { f.each(n, f.clock.See) }

// each calls see for each start in a notice.
func (f *Follower) each(n Notice, see func(now time.Duration, id cresspass.EngineID, told time.Time)) {
	if n.Pool == nil {
		return
	}
	now := f.now()
	for i := range n.Pool.Servers {
		if s := &n.Pool.Servers[i]; s.Started > 0 {
			see(now, cresspass.EngineID(s.ID), time.UnixMilli(s.Started))
		}
	}
}

// Notice takes what an event held.
func (f *Follower) Notice(n Notice) (out cresspass.Event, v Verdict, err error) {
	switch {
	case n.Rev <= f.last:
		return out, Known, nil
	case n.Rev > f.last+1 && f.last > 0 && (n.Pool == nil || !n.Pool.Full):
		return out, Gap, nil
	case n.Pool == nil:
		f.last = n.Rev
		return cresspass.Event{Type: cresspass.EngineList}, Taken, nil
	}
	out = cresspass.Event{Type: cresspass.EngineList, Listing: cresspass.ListChanges}
	if n.Pool.Full {
		out.Listing = cresspass.ListFull
	}
	f.See(n)
	now := f.now()
	for i := range n.Pool.Servers {
		s := &n.Pool.Servers[i]
		state, ok := states[s.State]
		if s.ID == "" || !ok || state == cresspass.EngineOn && s.Addr == "" || s.Weight < 0 {
			return out, Gap, fmt.Errorf("discovery: notice %d: compute node %q at %q is %q", n.Rev, s.ID,
				s.Addr, s.State)
		}
		e := cresspass.EngineInfo{ID: cresspass.EngineID(s.ID), State: state, Kind: s.Kind, Zone: s.Zone,
			Cell: s.Cell, Size: s.Weight}
		if s.Started > 0 {
			e.Started = f.clock.Started(now, e.ID, time.UnixMilli(s.Started))
		}
		out.Engines = append(out.Engines, e)
	}
	f.last = n.Rev
	if n.Pool.Full {
		listed := make(map[cresspass.EngineID]bool, len(n.Pool.Servers))
		for i := range n.Pool.Servers {
			listed[cresspass.EngineID(n.Pool.Servers[i].ID)] = true
		}
		for id := range f.addrs {
			if !listed[id] {
				f.gone = append(f.gone, id)
			}
		}
		f.addrs = make(map[cresspass.EngineID]string, len(n.Pool.Servers))
		clear(f.up)
		clear(f.where)
		f.clock.Keep(func(id cresspass.EngineID) bool { return listed[id] })
	}
	for i := range n.Pool.Servers {
		s := &n.Pool.Servers[i]
		id := cresspass.EngineID(s.ID)
		if f.up[id] = s.State == "up"; s.State == "removed" {
			delete(f.up, id)
			delete(f.addrs, id)
			delete(f.where, id)
			f.clock.Forget(id)
			f.gone = append(f.gone, id)
		} else if s.Addr != "" {
			f.addrs[id], f.where[id] = s.Addr, Location{s.Kind, s.Zone}
		}
	}
	return out, Taken, nil
}
