package sse

import (
	"encoding/json"
	"fmt"
	"time"

	"cresspass"
)

// WatchEvent is the data of an event: a numbered change of the endpoint list. The platform's configuration
// lists the events that are known at the start in the same format.
type WatchEvent struct {
	Revision uint64        `json:"rev"`
	List     *EndpointList `json:"pool"` // nil: nothing changed
}

// EndpointList is a complete list of compute nodes or the changes to it.
type EndpointList struct {
	Version   uint64     `json:"version"`
	Full      bool       `json:"full"` // the list is complete: endpoints that it leaves out are removed
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
	StartedMs int64   `json:"started_ms"` // Unix milliseconds; 0: not reported, counts as long ago
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

// parseWatchEvent decodes the data of an event and checks it against the event's id.
func parseWatchEvent(ev Event) (WatchEvent, error) {
	var we WatchEvent
	if err := json.Unmarshal(ev.Data, &we); err != nil {
		return WatchEvent{}, fmt.Errorf("discovery: event %d: %w", ev.ID, err)
	}
	if ev.HasID && ev.ID != we.Revision {
		return WatchEvent{}, fmt.Errorf("discovery: event with id %d has revision %d", ev.ID, we.Revision)
	}
	return we, nil
}

// validate returns an error if an endpoint has no id, an unknown state, a negative weight, or is up without
// an address.
func (e *Endpoint) validate(revision uint64) error {
	state, known := engineStates[e.State]
	if e.ID == "" || !known || state == cresspass.EngineActive && e.Addr == "" || e.Weight < 0 {
		return fmt.Errorf("discovery: watch event %d: invalid compute node %q at %q in state %q", revision,
			e.ID, e.Addr, e.State)
	}
	return nil
}

func (e *Endpoint) engineID() cresspass.EngineID { return cresspass.EngineID(e.ID) }

// startedAt returns the wall-clock time of the start, and whether it was reported.
func (e *Endpoint) startedAt() (time.Time, bool) { return time.UnixMilli(e.StartedMs), e.StartedMs > 0 }
