// Package sse follows a service discovery that sends server-sent events, each a numbered change of the list
// of compute nodes. A Parser owns the state of a stream, a Follower the endpoint list as it was last
// reported. The package does no I/O and does not connect to the discovery: bytes go into a Parser, complete
// events into a Follower, and engine lists for the module come out.
package sse

import (
	"time"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

// ApplyResult says what to do after an event.
type ApplyResult int

// The results.
const (
	Applied   ApplyResult = iota
	Duplicate             // it was applied before
	Gap                   // events between are missing: poll again from LastRevision
)

// Follower holds the endpoint list of a dispatcher: the last revision, and what was reported of each compute
// node. It is for one goroutine at a time.
type Follower struct {
	lastRevision uint64
	addrs        map[cresspass.EngineID]string
	locations    map[cresspass.EngineID]Location
	accepting    map[cresspass.EngineID]bool
	removed      []cresspass.EngineID // since the last call of TakeRemoved
	now          func() time.Duration
	startTimes   *starttime.Converter
}

// NewFollower returns a Follower without endpoints; now is the module's time, into which startTimes converts.
func NewFollower(now func() time.Duration, startTimes *starttime.Converter) *Follower {
	return &Follower{addrs: map[cresspass.EngineID]string{}, locations: map[cresspass.EngineID]Location{},
		accepting: map[cresspass.EngineID]bool{}, now: now, startTimes: startTimes}
}

// LastRevision is the number of the last event that was applied.
func (f *Follower) LastRevision() uint64 { return f.lastRevision }

// Addr returns the address of a compute node, as it was last reported; "" where none was.
func (f *Follower) Addr(id cresspass.EngineID) string { return f.addrs[id] }

// Location is what kind of machine a compute node is, and where it stands.
type Location struct{ Kind, Zone string }

// Location returns a compute node's location, as it was last reported.
func (f *Follower) Location(id cresspass.EngineID) Location { return f.locations[id] }

// Len returns how many compute nodes have an address.
func (f *Follower) Len() int { return len(f.addrs) }

// AcceptsQueries reports whether a compute node at an address accepts new queries, as far as was reported.
func (f *Follower) AcceptsQueries(id cresspass.EngineID, addr string) bool {
	return f.accepting[id] && f.addrs[id] == addr
}

// Draining reports whether a compute node is on the list and draining.
func (f *Follower) Draining(id cresspass.EngineID) bool { return f.addrs[id] != "" && !f.accepting[id] }

// TakeRemoved returns the compute nodes that were removed since the last call. Their addresses are forgotten.
func (f *Follower) TakeRemoved() []cresspass.EngineID {
	removed := f.removed
	f.removed = nil
	return removed
}

// Apply takes an event that came as it was sent. The list is to be handed to the module where the result is
// Applied. What can't be read is an error and changes nothing.
func (f *Follower) Apply(ev Event) (cresspass.Event, ApplyResult, error) {
	return f.applyEvent(ev, true)
}

// ApplyDelayed is Apply for an event that was sent some time ago, while the discovery was out of reach.
func (f *Follower) ApplyDelayed(ev Event) (cresspass.Event, ApplyResult, error) {
	return f.applyEvent(ev, false)
}

func (f *Follower) applyEvent(ev Event, fresh bool) (cresspass.Event, ApplyResult, error) {
	we, err := parseWatchEvent(ev)
	if err != nil {
		return cresspass.Event{}, Gap, err
	}
	if fresh && we.Revision == f.lastRevision+1 {
		f.eachStart(we, f.startTimes.ObserveFresh)
	}
	return f.ApplyWatchEvent(we)
}

// ObserveStarts takes in what the starts in a watch event show of the wall clock, and nothing else. Where
// several watch events are at hand, all are observed before the first is applied.
func (f *Follower) ObserveStarts(we WatchEvent) { f.eachStart(we, f.startTimes.Observe) }

// eachStart calls observe for each start in a watch event.
func (f *Follower) eachStart(we WatchEvent,
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

// ApplyWatchEvent takes what an event held, as Apply.
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
		if err := e.check(we.Revision); err != nil {
			return list, Gap, err
		}
		list.Engines = append(list.Engines, f.engineInfo(now, e))
	}
	f.lastRevision = we.Revision
	if full {
		f.clearUnlisted(we.List.Endpoints)
	}
	for i := range we.List.Endpoints {
		f.update(&we.List.Endpoints[i])
	}
	return list, Applied, nil
}

// engineInfo turns an endpoint into what the module knows of an engine.
func (f *Follower) engineInfo(now time.Duration, e *Endpoint) cresspass.EngineInfo {
	info := cresspass.EngineInfo{ID: e.engineID(), State: engineStates[e.State], Kind: e.Kind, Zone: e.Zone,
		Cell: e.Cell, Size: e.Weight}
	if started, ok := e.startedAt(); ok {
		info.StartedAt = f.startTimes.Convert(now, info.ID, started)
	}
	return info
}

// clearUnlisted forgets all endpoints before a full list is taken: those that it leaves out are removed.
func (f *Follower) clearUnlisted(endpoints []Endpoint) {
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
	clear(f.locations)
	f.startTimes.Retain(func(id cresspass.EngineID) bool { return listed[id] })
}

// update takes what was reported of an endpoint.
func (f *Follower) update(e *Endpoint) {
	id := e.engineID()
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
}
