// Package eds defines the engine list, a client that receives it from an endpoint discovery service (Envoy's
// EDS), and a file that caches the last list. It accepts a list completely or not at all. What a list means
// for the engines is decided by the module.
package eds

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

// EngineState is the state of an engine on the list. Its values are stored in the cached list.
type EngineState string

// The states of an engine.
const (
	StateActive   EngineState = "on"
	StateDraining EngineState = "draining"
	StateRemoved  EngineState = "gone"
)

// Engine is one entry of a list.
type Engine struct {
	Address string      `json:"address"`
	State   EngineState `json:"state"`
	Kind    string      `json:"kind,omitempty"`
	Zone    string      `json:"zone,omitempty"`
	Cell    int         `json:"cell,omitempty"`
	Size    float64     `json:"size,omitempty"`
	Started time.Time   `json:"started,omitzero"` // zero: not reported, counts as long ago
}

// List is a complete engine list.
type List struct {
	Version    string    `json:"version"`
	ReceivedAt time.Time `json:"at"`
	Engines    []Engine  `json:"engines"`
}

// Validate sorts the list by address. It returns an error if an engine has no address, an address listed
// already, or an unknown state. The discovery service receives the text of the error when its list is
// rejected.
func (l *List) Validate() error {
	slices.SortFunc(l.Engines, func(a, b Engine) int { return cmp.Compare(a.Address, b.Address) })
	for i, e := range l.Engines {
		switch {
		case e.Address == "":
			return errors.New("roster: an engine without an address")
		case i > 0 && l.Engines[i-1].Address == e.Address:
			return fmt.Errorf("roster: engine %s is named twice", e.Address)
		case e.State != StateActive && e.State != StateDraining && e.State != StateRemoved:
			return fmt.Errorf("roster: engine %s: state %q", e.Address, e.State)
		}
	}
	return nil
}

// Lookup returns the entry with an address, or nil if there is none.
func (l *List) Lookup(address string) *Engine {
	for i := range l.Engines {
		if l.Engines[i].Address == address {
			return &l.Engines[i]
		}
	}
	return nil
}

// EngineInfos returns the list in the module's types; now is the time on the module's clock. The converter
// converts start times to that clock and forgets engines that are not on the list.
func (l *List) EngineInfos(now time.Duration, clock *starttime.Converter) []cresspass.EngineInfo {
	listed := map[cresspass.EngineID]bool{}
	for _, e := range l.Engines { // observe all start times before converting the first
		listed[cresspass.EngineID(e.Address)] = true
		if !e.Started.IsZero() {
			clock.Observe(now, cresspass.EngineID(e.Address), e.Started)
		}
	}
	clock.Retain(func(id cresspass.EngineID) bool { return listed[id] })
	infos := make([]cresspass.EngineInfo, 0, len(l.Engines))
	for _, e := range l.Engines {
		info := cresspass.EngineInfo{
			ID:   cresspass.EngineID(e.Address),
			Kind: e.Kind,
			Zone: e.Zone,
			Cell: e.Cell,
			Size: e.Size,
		}
		switch e.State {
		case StateDraining:
			info.State = cresspass.EngineDraining
		case StateRemoved:
			info.State = cresspass.EngineRemoved
		}
		if !e.Started.IsZero() {
			info.StartedAt = clock.Convert(now, info.ID, e.Started)
		}
		infos = append(infos, info)
	}
	return infos
}
