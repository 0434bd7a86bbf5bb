package simulation

import (
	"time"

	"cresspass"
)

// minListDelay is the least time until dispatchers hear of a change.
const minListDelay = 10 * time.Millisecond

// listEntry is how an engine stood in the engine list.
type listEntry struct {
	state     cresspass.EngineState
	startedAt time.Duration
}

// engineList is the engine list as it is now.
func (f *Fleet) engineList() (list []listEntry) {
	for _, e := range f.engines {
		list = append(list, listEntry{e.state, e.startedAt})
	}
	return list
}

// engineListEvent is the event of an engine list, by the dispatcher's own clock.
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

// setState changes an engine's entry in the engine list.
func (f *Fleet) setState(e *engine, state cresspass.EngineState) {
	e.state = state
	e.listedAt = 0
	f.publishList(e)
}

// publishList sends the present engine list to all dispatchers. The list is taken now and not when they hear
// of it; otherwise each change would also bring later ones before their time.
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
