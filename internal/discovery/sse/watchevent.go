package sse

import (
	"encoding/json"
	"fmt"
	"time"

	"cresspass"
)

// WatchEvent is the data of an event: a numbered change of the endpoint list. Configurations hold the known
// ones in the same form.
type WatchEvent struct {
	Revision uint64        `json:"rev"`
	List     *EndpointList `json:"pool"` // nil: nothing changed
}

// EndpointList is a list of compute nodes, or what changed in it.
type EndpointList struct {
	Version   uint64     `json:"version"`
	Full      bool       `json:"full"` // what it leaves out is removed
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is a compute node in an EndpointList.
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

// The states of an endpoint.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

var engineStates = map[string]cresspass.EngineState{
	stateUp:       cresspass.EngineActive,
	stateDraining: cresspass.EngineDraining,
	stateRemoved:  cresspass.EngineRemoved,
}

// parseWatchEvent reads the data of an event.
func parseWatchEvent(ev Event) (WatchEvent, error) {
	var we WatchEvent
	if err := json.Unmarshal(ev.Data, &we); err != nil {
		return WatchEvent{}, fmt.Errorf("discovery: event %d: %w", ev.ID, err)
	}
	if ev.HasID && ev.ID != we.Revision {
		return WatchEvent{}, fmt.Errorf("discovery: event %d says that it is %d", ev.ID, we.Revision)
	}
	return we, nil
}

// check reports what is wrong with an endpoint.
func (e *Endpoint) check(revision uint64) error {
	state, known := engineStates[e.State]
	if e.ID == "" || !known || state == cresspass.EngineActive && e.Addr == "" || e.Weight < 0 {
		return fmt.Errorf("discovery: watch event %d: compute node %q at %q is %q", revision,
			e.ID, e.Addr, e.State)
	}
	return nil
}

func (e *Endpoint) engineID() cresspass.EngineID { return cresspass.EngineID(e.ID) }

// startedAt returns the wall-clock time of the start, if it was reported.
func (e *Endpoint) startedAt() (time.Time, bool) { return time.UnixMilli(e.StartedMs), e.StartedMs > 0 }
