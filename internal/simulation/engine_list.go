package simulation

import (
	"time"

	"cresspass"
)

// minListDelay is the minimum time until dispatchers receive a change of the engine list.
const minListDelay = 10 * time.Millisecond

// listEntry is the state of an engine in a published engine list.
type listEntry struct {
	state     cresspass.EngineState
	startedAt time.Duration
}

// engineList returns the current engine list.
func (f *Fleet) engineList() (list []listEntry) {
	for _, e := range f.engines {
		list = append(list, listEntry{e.state, e.startedAt})
	}
	return list
}

// engineListEvent returns the event of an engine list, with start times by the dispatcher's own clock.
func (d *dispatcher) engineListEvent(list []listEntry) cresspass.Event {
	ev := cresspass.Event{Type: cresspass.EngineListReceived, ListType: cresspass.ListComplete}
	for i, e := range d.fleet.engines {
		info := cresspass.EngineInfo{ID: e.id, State: list[i].state, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell}
		if list[i].startedAt > 0 {
			info.StartedAt = list[i].startedAt - d.epoch
		}
		ev.Engines = append(ev.Engines, info)
	}
	return ev
}

// setState changes an engine's state in the engine list and publishes the list.
func (f *Fleet) setState(e *engine, state cresspass.EngineState) {
	e.state = state
	e.listedAt = 0
	f.publishList(e)
}

// publishList sends the current engine list to all dispatchers. The list is copied now and not when it
// arrives; otherwise each change would also deliver later changes too early.
func (f *Fleet) publishList(changed *engine) {
	delay := f.cfg.ListDelay + f.disturbance.listDelay + minListDelay
	list := f.engineList()
	f.queue.In(delay, func() {
		entry := list[changed.number]
		if entry.state == changed.state && entry.startedAt == changed.startedAt {
			changed.listedAt = f.queue.Now()
		}
		for _, d := range f.dispatchers {
			if d.up && !d.bootstrapRequested {
				d.step(d.engineListEvent(list))
			}
		}
	})
}
