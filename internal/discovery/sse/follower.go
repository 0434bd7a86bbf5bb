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

// MaxEventBytes is the longest event that is kept, in bytes.
const MaxEventBytes = 1 << 20

// byteOrderMark may stand before the first line of a stream.
const byteOrderMark = "\ufeff"

// ErrEventTooLong tells of an event that passes Most.
var ErrEventTooLong = errors.New("discovery: an event that is too long")

// Event is a whole event. HasID is false where none stood in it.
type Event struct {
	ID    uint64
	HasID bool
	Data  []byte
}

// Parser cuts a stream of server-sent events (WHATWG HTML, 9.2.6) into events. An event that the stream
// breaks off in is never given out.
type Parser struct {
	started   bool // the first line has come
	afterCR   bool // the last byte was a CR: an LF behind it ends no line
	line      []byte
	event     Event
	dataLines int
}

// Feed takes bytes and calls got for each whole event; the event is valid until got returns.
func (p *Parser) Feed(b []byte, got func(Event)) error {
	for len(b) > 0 {
		if b[0] == '\n' && p.afterCR {
			p.afterCR, b = false, b[1:]
			continue
		}
		p.afterCR = false
		i := bytes.IndexAny(b, "\r\n")
		if i < 0 {
			p.line = append(p.line, b...)
			if len(p.line) > MaxEventBytes {
				return ErrEventTooLong
			}
			return nil
		}
		p.line = append(p.line, b[:i]...)
		p.afterCR = b[i] == '\r'
		b = b[i+1:]
		line := p.line
		if !p.started {
			p.started, line = true, bytes.TrimPrefix(line, []byte(byteOrderMark))
		}
		if err := p.endLine(line, got); err != nil {
			return err
		}
		p.line = p.line[:0]
	}
	return nil
}

func (p *Parser) endLine(line []byte, got func(Event)) error {
	if len(line) == 0 {
		if p.dataLines > 0 {
			got(p.event)
		}
		p.event, p.dataLines = Event{Data: p.event.Data[:0]}, 0
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
		if p.dataLines > 0 {
			p.event.Data = append(p.event.Data, '\n')
		}
		p.event.Data = append(p.event.Data, value...)
		p.dataLines++
		if len(p.event.Data) > MaxEventBytes {
			return ErrEventTooLong
		}
	}
	return nil
}

// WatchEvent is the data of an event.
type WatchEvent struct {
	Revision uint64        `json:"rev"`
	List     *EndpointList `json:"pool"`
}

// EndpointList is a list of compute nodes, or what changed in it.
type EndpointList struct {
	Version   uint64     `json:"version"`
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is a compute node on the notice board.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"` // Unix milliseconds; 0: long ago
}

var endpointStates = map[string]cresspass.EngineState{
	"up":       cresspass.EngineActive,
	"draining": cresspass.EngineDraining,
	"removed":  cresspass.EngineRemoved,
}

// ApplyResult says what to do after an event.
type ApplyResult int

// The verdicts.
const (
	Applied   ApplyResult = iota
	Duplicate             // it was told before
	Gap                   // events between are missing: ask again from Last
)

// Follower holds where a dispatcher stands on its notice board and what addresses its compute nodes have.
type Follower struct {
	lastRevision uint64
	addrs        map[cresspass.EngineID]string
	locations    map[cresspass.EngineID]Location
	accepting    map[cresspass.EngineID]bool
	removed      []cresspass.EngineID // since the last call of Gone
	now          func() time.Duration
	startTimes   *starttime.Converter
}

// NewFollower returns a Follower; now is the module's time, clock turns starts into it.
func NewFollower(now func() time.Duration, clock *starttime.Converter) *Follower {
	return &Follower{addrs: map[cresspass.EngineID]string{}, locations: map[cresspass.EngineID]Location{},
		accepting: map[cresspass.EngineID]bool{}, now: now, startTimes: clock}
}

// LastRevision is the number of the last event taken.
func (f *Follower) LastRevision() uint64 { return f.lastRevision }

// Addr returns the address of a compute node, as it was last told; "" where none was.
func (f *Follower) Addr(id cresspass.EngineID) string { return f.addrs[id] }

// Location is what kind of machine a compute node is, and where it stands.
type Location struct{ Kind, Zone string }

// Location returns a compute node's location, as it was last told.
func (f *Follower) Location(id cresspass.EngineID) Location { return f.locations[id] }

// Len returns how many compute nodes have an address.
func (f *Follower) Len() int { return len(f.addrs) }

// AcceptsQueries reports whether a compute node at an address takes new queries, as far as was told.
func (f *Follower) AcceptsQueries(id cresspass.EngineID, addr string) bool {
	return f.accepting[id] && f.addrs[id] == addr
}

// Draining reports whether a compute node was told to drain and has not left.
func (f *Follower) Draining(id cresspass.EngineID) bool { return f.addrs[id] != "" && !f.accepting[id] }

// TakeRemoved returns the compute nodes that left the list since the last call. Their addresses are
// forgotten.
func (f *Follower) TakeRemoved() []cresspass.EngineID {
	gone := f.removed
	f.removed = nil
	return gone
}

// Apply takes an event that came as it was told. The list is to be handed to the module where the verdict is
// Taken. What can't be read is an error and changes nothing.
func (f *Follower) Apply(ev Event) (cresspass.Event, ApplyResult, error) {
	return f.applyEvent(ev, true)
}

// ApplyDelayed is Take for an event that was told some time ago, while the notice board was out of reach.
func (f *Follower) ApplyDelayed(ev Event) (cresspass.Event, ApplyResult, error) {
	return f.applyEvent(ev, false)
}

func (f *Follower) applyEvent(ev Event, fresh bool) (cresspass.Event, ApplyResult, error) {
	var n WatchEvent
	if err := json.Unmarshal(ev.Data, &n); err != nil {
		return cresspass.Event{}, Gap, fmt.Errorf("discovery: event %d: %w", ev.ID, err)
	}
	if ev.HasID && ev.ID != n.Revision {
		return cresspass.Event{}, Gap, fmt.Errorf("discovery: event %d says that it is %d", ev.ID, n.Revision)
	}
	if fresh && n.Revision == f.lastRevision+1 {
		f.eachStart(n, f.startTimes.ObserveFresh)
	}
	return f.ApplyWatchEvent(n)
}

// ObserveStarts takes in what the starts in a notice tell of the wall clock, and nothing else. Where several
// notices are at hand, all are seen before the first is taken.
func (f *Follower) ObserveStarts(n WatchEvent) { f.eachStart(n, f.startTimes.Observe) }

// eachStart calls see for each start in a notice.
func (f *Follower) eachStart(
	n WatchEvent,
	see func(now time.Duration, id cresspass.EngineID, told time.Time),
) {
	if n.List == nil {
		return
	}
	now := f.now()
	for i := range n.List.Endpoints {
		if s := &n.List.Endpoints[i]; s.StartedMs > 0 {
			see(now, cresspass.EngineID(s.ID), time.UnixMilli(s.StartedMs))
		}
	}
}

// ApplyWatchEvent takes what an event held.
func (f *Follower) ApplyWatchEvent(n WatchEvent) (out cresspass.Event, v ApplyResult, err error) {
	switch {
	case n.Revision <= f.lastRevision:
		return out, Duplicate, nil
	case n.Revision > f.lastRevision+1 && f.lastRevision > 0 && (n.List == nil || !n.List.Full):
		return out, Gap, nil
	case n.List == nil:
		f.lastRevision = n.Revision
		return cresspass.Event{Type: cresspass.EngineListReceived}, Applied, nil
	}
	out = cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListIncremental}
	if n.List.Full {
		out.ListType = cresspass.ListComplete
	}
	f.ObserveStarts(n)
	now := f.now()
	for i := range n.List.Endpoints {
		s := &n.List.Endpoints[i]
		state, ok := endpointStates[s.State]
		if s.ID == "" || !ok || state == cresspass.EngineActive && s.Addr == "" || s.Weight < 0 {
			return out, Gap, fmt.Errorf("discovery: notice %d: compute node %q at %q is %q", n.Revision, s.ID,
				s.Addr, s.State)
		}
		e := cresspass.EngineInfo{ID: cresspass.EngineID(s.ID), State: state, Kind: s.Kind, Zone: s.Zone,
			Cell: s.Cell, Size: s.Weight}
		if s.StartedMs > 0 {
			e.StartedAt = f.startTimes.Convert(now, e.ID, time.UnixMilli(s.StartedMs))
		}
		out.Engines = append(out.Engines, e)
	}
	f.lastRevision = n.Revision
	if n.List.Full {
		listed := make(map[cresspass.EngineID]bool, len(n.List.Endpoints))
		for i := range n.List.Endpoints {
			listed[cresspass.EngineID(n.List.Endpoints[i].ID)] = true
		}
		for id := range f.addrs {
			if !listed[id] {
				f.removed = append(f.removed, id)
			}
		}
		f.addrs = make(map[cresspass.EngineID]string, len(n.List.Endpoints))
		clear(f.accepting)
		clear(f.locations)
		f.startTimes.Retain(func(id cresspass.EngineID) bool { return listed[id] })
	}
	for i := range n.List.Endpoints {
		s := &n.List.Endpoints[i]
		id := cresspass.EngineID(s.ID)
		if f.accepting[id] = s.State == "up"; s.State == "removed" {
			delete(f.accepting, id)
			delete(f.addrs, id)
			delete(f.locations, id)
			f.startTimes.Forget(id)
			f.removed = append(f.removed, id)
		} else if s.Addr != "" {
			f.addrs[id], f.locations[id] = s.Addr, Location{s.Kind, s.Zone}
		}
	}
	return out, Applied, nil
}
