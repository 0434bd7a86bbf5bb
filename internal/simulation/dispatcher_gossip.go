package simulation

import (
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/membership/gossip"
	"cresspass/internal/membership/modelstate"
	"cresspass/internal/membership/observation"
)

const (
	snapshotInterval = 10 * time.Second
	forgeInterval    = 500 * time.Millisecond
)

// forgedParameter is the value that a Byzantine dispatcher publishes for each learned parameter.
const forgedParameter = 100

// join makes the dispatcher a member of the fleet. With bootstrap set, it waits for the model state of other
// dispatchers.
func (d *dispatcher) join(bootstrap bool) {
	f := d.fleet
	wait := time.Duration(0)
	if bootstrap {
		wait = bootstrapTimeout
	}
	d.bootstrapRequested = bootstrap
	d.member = f.members.All[d.number]
	d.member.HandleAction = d.handleGossip
	f.members.Start(d.number, d.number, wait)
	d.saveSnapshots(d.incarnation)
}

// assembleModelState returns the model state of other dispatchers as a snapshot, and its age; the snapshot is
// nil if no state is known.
func (d *dispatcher) assembleModelState() ([]byte, time.Duration) {
	cfg := &d.fleet.cfg.Module
	var names []string
	for _, c := range cfg.Classes {
		names = append(names, c.Name)
	}
	age := time.Duration(0)
	now := d.member.now(d.fleet.queue)
	data := modelstate.Assemble(names, cfg.KindNames, func(name string) (float64, bool) {
		b, ok := d.member.Node.Store().InitialParameter(now, name)
		age = max(age, b.Age)
		return b.Value, ok
	})
	return data, age
}

// handleGossip executes an action of the gossip node that concerns the core.
func (d *dispatcher) handleGossip(action gossip.Action) {
	switch action.Type {
	case gossip.DeliverMessage:
		d.post(0, cresspass.Event{Type: cresspass.PeerMessageReceived, Peer: action.From, Data: action.Data})
	case gossip.UpdateView:
		d.post(0, cresspass.Event{Type: cresspass.MembershipChanged, Peer: action.View.Ordinal,
			Value: float64(action.View.Count), Elapsed: action.Clock})
	case gossip.ReportEngineDown:
		d.post(0, cresspass.Event{Type: cresspass.EngineReportedDown,
			Engine: cresspass.EngineID(action.Engine)})
	case gossip.CompleteBootstrap:
		if d.bootstrapRequested {
			d.completeBootstrap()
		}
	}
}

// sendToPeer sends a message of the core to another dispatcher.
func (d *dispatcher) sendToPeer(o dispatch.Output) {
	if d.member == nil {
		return
	}
	members := d.fleet.members
	d.member.Node.SendMessage(d.member.now(members.Queue), o.Peer, o.Data)
	members.ApplyActions(d.member)
}

// saveSnapshots publishes the module's learned parameters every snapshotInterval, until the incarnation ends.
func (d *dispatcher) saveSnapshots(incarnation uint64) {
	f := d.fleet
	f.queue.In(snapshotInterval, func() {
		if d.incarnation != incarnation || !d.up {
			return
		}
		if parameters, err := modelstate.Flatten(d.core.Snapshot()); err == nil {
			if d.number < f.cfg.Byzantine {
				for name := range parameters {
					parameters[name] = forgedParameter
				}
			}
			d.member.Node.RecordModelState(d.member.now(f.queue), parameters)
		}
		d.saveSnapshots(incarnation)
	})
}

// forgedMessageTypes are the types of the messages of a Byzantine dispatcher. Their loads alternate between
// 255 and 254, so that one aggregate reports all engines as full and the other reports them as ejected.
var forgedMessageTypes = []cresspass.PeerMessageType{cresspass.PeerLoadReport, cresspass.PeerAggregate,
	cresspass.PeerAggregate, cresspass.PeerSendNotice, cresspass.PeerForwardedSends}

// forgedLoads returns a message that reports the same load for all engines. A load report also reports that
// attempts failed.
func (f *Fleet) forgedLoads(messageType cresspass.PeerMessageType, load byte) []byte {
	const onlyFailures = 0x0f
	data := []byte{byte(messageType)}
	for _, e := range f.engines {
		tag := cresspass.EngineTag(e.id)
		data = append(data, byte(tag>>8), byte(tag), load)
		if messageType == cresspass.PeerLoadReport {
			data = append(data, onlyFailures)
		}
	}
	return data
}

// scheduleForgedMessages makes a dispatcher report to the others, every forgeInterval, that all engines are
// full, ejected or down.
func (f *Fleet) scheduleForgedMessages(d *dispatcher) {
	f.queue.In(forgeInterval, func() {
		if d.up && d.member != nil {
			now := d.member.now(f.queue)
			for i, messageType := range forgedMessageTypes {
				d.member.Node.SendMessage(now, -1, f.forgedLoads(messageType, byte(255-i%2)))
			}
			for _, e := range f.engines {
				d.member.Node.Store().Observe(now, observation.Key{Engine: string(e.id),
					Property: observation.Health}, 0)
			}
			f.members.ApplyActions(d.member)
		}
		f.scheduleForgedMessages(d)
	})
}
