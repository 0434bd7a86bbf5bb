package simulation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
)

// bootstrapTimeout is how long a starting dispatcher waits for the model state of other dispatchers.
const bootstrapTimeout = time.Second

// minTimerDelay keeps a timer that is already due from firing at the very time at which it is set.
const minTimerDelay = time.Microsecond

// dispatcher is one simulated dispatcher: the production core, with simulated engines, clients and members in
// place of sockets.
type dispatcher struct {
	fleet              *Fleet
	number             int
	zone               string
	up                 bool
	incarnation        uint64
	epoch              time.Duration // simulated time at which the dispatcher's clock is zero
	core               *dispatch.Core
	decider            dispatch.Decider
	nextWakeup         time.Duration // of the scheduled timer
	member             *Member       // nil: without gossip
	requests           map[cresspass.QueryID]*request
	jobs               map[jobKey]*job
	waiting            []*request        // arrived before the bootstrap completed
	pendingOutputs     []dispatch.Output // of earlier steps, not executed yet
	bootstrapRequested bool
	snapshot           []byte // from its last stop
	stoppedAt          time.Duration
	retryTimes         []time.Duration // of retries, within the retry budget's window
	acceptTimes        []time.Duration // of queries, within the same window
}

// start begins an incarnation. first means that the whole fleet starts, so no other dispatcher has model
// state to bootstrap from.
func (d *dispatcher) start(now time.Duration, first bool) error {
	f := d.fleet
	d.incarnation++
	d.up, d.epoch, d.nextWakeup = true, now-clockStart, math.MaxInt64
	d.requests, d.jobs, d.waiting = map[cresspass.QueryID]*request{}, map[jobKey]*job{}, nil
	cfg := f.cfg.Module
	cfg.Ordinal, cfg.GatewayCount = d.number, f.cfg.Dispatchers
	cfg.Seed = f.cfg.Seed + uint64(d.number) + incarnationSeedStep*d.incarnation
	cfg.MayGossip = f.cfg.Gossip != NoGossip
	decider, err := newDecider(f, &cfg, d.clock())
	if err != nil {
		return err
	}
	d.decider = decider
	d.retryTimes, d.acceptTimes = nil, nil
	d.core = dispatch.NewCoreWithDecider(decider, cfg, d.clock())
	if f.cfg.Gossip != NoGossip {
		d.join(f.cfg.Gossip == GossipAndBootstrap && !first)
	}
	if !d.bootstrapRequested {
		d.completeBootstrap()
	}
	return nil
}

// completeBootstrap restores first the model state of other dispatchers and then the dispatcher's own
// snapshot, and accepts clients from now on.
func (d *dispatcher) completeBootstrap() {
	f := d.fleet
	d.bootstrapRequested = false
	// As in production, a dispatcher whose snapshot can't be restored serves without it.
	if d.member != nil {
		if data, age := d.assembleModelState(); data != nil {
			_ = d.core.Restore(data, age)
		}
	}
	if d.snapshot != nil {
		_ = d.core.Restore(d.snapshot, f.queue.Now()-d.stoppedAt)
	}
	d.step(d.engineListEvent(f.engineList()))
	for _, req := range d.waiting {
		d.admit(req)
	}
	d.waiting = nil
}

// stop ends an incarnation: its jobs are withdrawn from their engines, and its open requests fail.
func (d *dispatcher) stop() {
	f := d.fleet
	d.up = false
	d.snapshot, d.stoppedAt = d.core.Snapshot(), f.queue.Now()
	if r, ok := d.decider.(interface{ Retire(now time.Duration) }); ok {
		r.Retire(d.clock())
	}
	var jobs []*job
	for _, j := range d.jobs {
		jobs = append(jobs, j)
	}
	// Sorted, because map iteration order does not depend on the seed: one seed would have several results.
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.query, b.query), cmp.Compare(a.attempt, b.attempt))
	})
	for _, j := range jobs {
		d.withdraw(j)
	}
	var open []*request
	for _, req := range d.requests {
		open = append(open, req)
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, req := range append(open, d.waiting...) {
		f.finishRequest(req, d, Failed, 0)
	}
	if d.member != nil {
		f.members.Stop(d.number, false)
	}
}

// memberID is the dispatcher's owner number in the event queue, which orders simultaneous events.
func (d *dispatcher) memberID() uint64 { return uint64(d.number) + 1 }

func (d *dispatcher) clock() time.Duration { return d.fleet.queue.Now() - d.epoch }

// admit accepts a client's query, or holds it back until the bootstrap completes.
func (d *dispatcher) admit(req *request) {
	f := d.fleet
	if d.bootstrapRequested {
		d.waiting = append(d.waiting, req)
		return
	}
	f.lastRequestID++
	req.id = cresspass.QueryID(f.lastRequestID)
	d.requests[req.id] = req
	d.acceptTimes = append(d.acceptTimes, f.queue.Now())
	left := req.class.Deadline - (f.queue.Now() - req.firstArrival)
	d.step(cresspass.Event{
		Type:              cresspass.QueryArrived,
		Query:             req.id,
		Class:             req.class.Name,
		RemainingDeadline: max(left, 1),
		HasCostEstimate:   req.costEstimate > 0,
		CostEstimate:      time.Duration(req.costEstimate * float64(time.Second)),
		Key:               req.key,
		TableGroup:        float64(req.tableGroup),
		IsRetry:           req.attempts > 0,
		IsWrite:           req.class.Effect != cresspass.Idempotent,
	})
}

// step hands events to the core and executes its outputs.
func (d *dispatcher) step(events ...cresspass.Event) {
	if !d.up {
		return
	}
	for _, o := range d.core.Step(d.clock(), events) {
		d.execute(o)
	}
	d.scheduleTimer()
}

// scheduleTimer schedules the core's next wakeup, unless one at the same time or earlier is scheduled.
func (d *dispatcher) scheduleTimer() {
	next, ok := d.core.NextWakeup()
	at := max(next+d.epoch, d.fleet.queue.Now()+minTimerDelay)
	if !ok || at >= d.nextWakeup {
		return
	}
	d.nextWakeup = at
	d.stepAt(at, func() bool { // false if an earlier wakeup was scheduled since
		due := d.nextWakeup == at
		if due {
			d.nextWakeup = math.MaxInt64
		}
		return due
	})
}

// post hands an event to the core after a delay.
func (d *dispatcher) post(after time.Duration, ev cresspass.Event) {
	d.stepAt(d.fleet.queue.Now()+after, func() bool { return true }, ev)
}

// stepAt hands events to the core at a given time, if this incarnation is still up and due returns true. If
// dispatchers decide independently, simultaneous steps of their cores run in parallel, and their outputs are
// executed afterwards, in the queue's order.
func (d *dispatcher) stepAt(at time.Duration, due func() bool, events ...cresspass.Event) {
	f, incarnation := d.fleet, d.incarnation
	isDue := func() bool { return d.incarnation == incarnation && d.up && due() }
	if !f.independent {
		f.queue.AtFor(d.memberID(), at, func() {
			if isDue() {
				d.step(events...)
			}
		})
		return
	}
	f.queue.AtParallel(d.memberID(), at, func() {
		if isDue() {
			d.pendingOutputs = append(d.pendingOutputs, d.core.Step(d.clock(), events)...)
		}
	}, func() { d.executePending(incarnation) })
}

// executePending executes the outputs of earlier steps and reuses their slice.
func (d *dispatcher) executePending(incarnation uint64) {
	outputs := d.pendingOutputs
	if d.pendingOutputs = nil; d.incarnation != incarnation || !d.up {
		return
	}
	for _, o := range outputs {
		d.execute(o)
	}
	if d.scheduleTimer(); d.pendingOutputs == nil {
		d.pendingOutputs = outputs[:0]
	}
}

// execute carries out one output of the core.
func (d *dispatcher) execute(o dispatch.Output) {
	switch o.Type {
	case dispatch.StartAttempt:
		d.startAttempt(o)
	case dispatch.StopAttempt:
		d.stopAttempt(o)
	case dispatch.RejectQuery:
		d.answer(o, Rejected)
	case dispatch.FailQuery:
		d.answer(o, Failed)
	case dispatch.CheckHealth:
		d.checkHealth(o.Engine)
	case dispatch.SendToPeer:
		d.sendToPeer(o)
	}
}

// answer ends a query without an engine's answer.
func (d *dispatcher) answer(o dispatch.Output, outcome Outcome) {
	req := d.requests[o.Query]
	delete(d.requests, o.Query)
	if req != nil {
		d.fleet.finishRequest(req, d, outcome, o.RetryAfter)
	}
}
