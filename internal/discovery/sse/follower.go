// Package sse follows a discovery service that sends the list of compute nodes as server-sent events, each a
// numbered change of the list. A Parser splits the bytes of a stream into events. A Follower applies the
// events to the endpoint list and returns engine lists for the module. The package does no I/O and does not
// connect to the service.
package sse

import (
	"time"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

// ApplyResult is the result of applying an event.
type ApplyResult int

// The results of applying an event.
const (
	Applied   ApplyResult = iota
	Duplicate             // the event was applied before
	Gap                   // earlier events are missing: request the stream again from LastRevision
)

// Follower holds the endpoint list of a dispatcher: the last revision that was applied, and what was last
// reported about each compute node. It is not safe for concurrent use.
type Follower struct {
	lastRevision uint64
	addrs        map[cresspass.EngineID]string
	locations    map[cresspass.EngineID]Location
	accepting    map[cresspass.EngineID]bool
	acceptingAt  map[string]cresspass.EngineID // the compute node that accepts queries, by address
	removed      []cresspass.EngineID          // since the last call of TakeRemoved
	now          func() time.Duration          // the module's clock
	startTimes   *starttime.Converter
}

// NewFollower returns a Follower without endpoints. now is the module's clock; startTimes converts start
// times to it.
func NewFollower(now func() time.Duration, startTimes *starttime.Converter) *Follower {
	return &Follower{addrs: map[cresspass.EngineID]string{}, locations: map[cresspass.EngineID]Location{},
		accepting: map[cresspass.EngineID]bool{}, acceptingAt: map[string]cresspass.EngineID{}, now: now,
		startTimes: startTimes}
}

// LastRevision returns the revision of the last event that was applied, or 0 if there is none.
func (f *Follower) LastRevision() uint64 { return f.lastRevision }

// Addr returns the last reported address of a compute node, or "" if it has none.
func (f *Follower) Addr(id cresspass.EngineID) string { return f.addrs[id] }

// Location is the machine kind of a compute node and its zone.
type Location struct{ Kind, Zone string }

// Location returns the last reported location of a compute node.
func (f *Follower) Location(id cresspass.EngineID) Location { return f.locations[id] }

// Len returns the number of compute nodes that have an address.
func (f *Follower) Len() int { return len(f.addrs) }

// AcceptsQueries reports whether, by the last report, a compute node has this address and accepts new
// queries.
func (f *Follower) AcceptsQueries(id cresspass.EngineID, addr string) bool {
	return f.accepting[id] && f.addrs[id] == addr
}

// AddressTaken reports whether, by the last report, a compute node does not accept queries at an address any
// more and another one does. A new connection to the address then reaches the other one.
func (f *Follower) AddressTaken(id cresspass.EngineID, addr string) bool {
	_, taken := f.acceptingAt[addr]
	return taken && !f.AcceptsQueries(id, addr)
}

// Draining reports whether a compute node is on the list and draining.
func (f *Follower) Draining(id cresspass.EngineID) bool { return f.addrs[id] != "" && !f.accepting[id] }

// TakeRemoved returns the compute nodes that were removed since the last call. They have no address, unless
// they were listed again.
func (f *Follower) TakeRemoved() []cresspass.EngineID {
	removed := f.removed
	f.removed = nil
	return removed
}

// Apply applies an event that was received without delay after it was sent. If the result is Applied, the
// returned list is for the module. For an event that cannot be decoded or is invalid it returns an error, and
// the endpoint list and LastRevision stay as they are.
func (f *Follower) Apply(ev Event) (cresspass.Event, ApplyResult, error) {
	return f.applyEvent(ev, true)
}

// ApplyDelayed is like Apply for an event that may have been sent some time ago, such as while the discovery
// service was unreachable. A start time that is some seconds old is then no evidence that the wall clock is
// ahead.
func (f *Follower) ApplyDelayed(ev Event) (cresspass.Event, ApplyResult, error) {
	return f.applyEvent(ev, false)
}

func (f *Follower) applyEvent(ev Event, fresh bool) (cresspass.Event, ApplyResult, error) {
	we, err := parseWatchEvent(ev)
	if err != nil {
		return cresspass.Event{}, Gap, err
	}
	if fresh && we.Revision == f.lastRevision+1 {
		f.forEachStart(we, f.startTimes.ObserveFresh)
	}
	return f.ApplyWatchEvent(we)
}

// ObserveStarts passes the start times in a watch event to the converter, which estimates the error of the
// wall clock from them, and changes nothing else. If there are several watch events, observe all of them
// before applying the first.
func (f *Follower) ObserveStarts(we WatchEvent) { f.forEachStart(we, f.startTimes.Observe) }

// forEachStart calls observe for each start time in a watch event.
func (f *Follower) forEachStart(we WatchEvent,
	observe func(now time.Duration, id cresspass.EngineID, started time.Time)) {
	if we.List == nil {
		return
	}
	now := f.now()
	for i := range we.List.Endpoints {
		e := &we.List.Endpoints[i]
		if started, ok := e.startedAt(); ok {
			observe(now, e.engineID(), started)
		}
	}
}

// ApplyWatchEvent is like ApplyDelayed for a decoded event.
func (f *Follower) ApplyWatchEvent(we WatchEvent) (cresspass.Event, ApplyResult, error) {
	full := we.List != nil && we.List.Full
	switch {
	case we.Revision <= f.lastRevision:
		return cresspass.Event{}, Duplicate, nil
	case we.Revision > f.lastRevision+1 && f.lastRevision > 0 && !full:
		return cresspass.Event{}, Gap, nil
	case we.List == nil:
		f.lastRevision = we.Revision
		return cresspass.Event{Type: cresspass.EngineListReceived}, Applied, nil
	}
	list := cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListIncremental}
	if full {
		list.ListType = cresspass.ListComplete
	}
	f.ObserveStarts(we)
	now := f.now()
	for i := range we.List.Endpoints {
		e := &we.List.Endpoints[i]
		if err := e.validate(we.Revision); err != nil {
			return list, Gap, err
		}
		list.Engines = append(list.Engines, f.engineInfo(now, e))
	}
	f.lastRevision = we.Revision
	if full {
		f.clearForFullList(we.List.Endpoints)
	}
	for i := range we.List.Endpoints {
		f.update(&we.List.Endpoints[i])
	}
	return list, Applied, nil
}

// engineInfo converts an endpoint to the module's description of an engine.
func (f *Follower) engineInfo(now time.Duration, e *Endpoint) cresspass.EngineInfo {
	info := cresspass.EngineInfo{ID: e.engineID(), State: engineStates[e.State], Kind: e.Kind, Zone: e.Zone,
		Cell: e.Cell, Size: e.Weight}
	if started, ok := e.startedAt(); ok {
		info.StartedAt = f.startTimes.Convert(now, info.ID, started)
	}
	return info
}

// clearForFullList forgets all endpoints before a full list is applied. Those that the list leaves out count
// as removed.
func (f *Follower) clearForFullList(endpoints []Endpoint) {
	listed := make(map[cresspass.EngineID]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].engineID()] = true
	}
	for id := range f.addrs {
		if !listed[id] {
			f.removed = append(f.removed, id)
		}
	}
	f.addrs = make(map[cresspass.EngineID]string, len(endpoints))
	clear(f.accepting)
	clear(f.acceptingAt)
	clear(f.locations)
	f.startTimes.Retain(func(id cresspass.EngineID) bool { return listed[id] })
}

// update stores what was reported about an endpoint.
func (f *Follower) update(e *Endpoint) {
	id := e.engineID()
	if addr := f.addrs[id]; f.acceptingAt[addr] == id {
		delete(f.acceptingAt, addr)
	}
	if e.State == stateRemoved {
		delete(f.accepting, id)
		delete(f.addrs, id)
		delete(f.locations, id)
		f.startTimes.Forget(id)
		f.removed = append(f.removed, id)
		return
	}
	f.accepting[id] = e.State == stateUp
	if e.Addr != "" {
		f.addrs[id], f.locations[id] = e.Addr, Location{e.Kind, e.Zone}
	}
	if f.accepting[id] {
		f.acceptingAt[f.addrs[id]] = id
	}
}
