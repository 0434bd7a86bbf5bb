package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	slowStartBudgetShare = 0.5  // share of the budget used: reserve for chance and wrong work estimates
	slowStartSigmas      = 5.0  // standard deviations between the mean work sent in slots and the budget
	slowStartMaxSize     = 3.0  // most work of a query sent in a slot, over the smallest mean work
	capacityCPUShare     = 0.85 // at full capacity this share of the cores is busy
)

// slowStartState holds the work that one engine in slow start (rule 4) was sent, and the slots in which small
// queries may be sent to it.
type slowStartState struct {
	sends        []slowStartSend // within the window
	slotProgress float64         // share of the current slot period that has passed
	slotEndsAt   time.Duration   // the slot, in which one query may be sent, ends then; 0: no slot is open
}

type slowStartSend struct {
	at   time.Duration
	work float64
}

// resetSlots starts a slot period of which the given share has passed, and closes the current slot. Earlier
// sends still count.
func (s *slowStartState) resetSlots(progress float64) { s.slotProgress, s.slotEndsAt = progress, 0 }

// workSince drops sends before from and returns the work of the others plus work, in thread seconds.
func (s *slowStartState) workSince(from time.Duration, work float64) float64 {
	s.sends = slices.DeleteFunc(s.sends, func(sent slowStartSend) bool { return sent.at < from })
	for _, sent := range s.sends {
		work += sent.work
	}
	return work
}

// rampFraction returns the least share of its full capacity that an engine has. It is 1 outside slow start.
func (g *Gateway) rampFraction(e *engine) float64 {
	age, r := g.now-e.StartedAt, &g.cfg.Rules
	if e.StartedAt <= 0 || r.SlowStartDuration <= 0 || age >= r.SlowStartDuration || r.SlowStartFrom <= 0 {
		return 1
	}
	return r.SlowStartFrom + (1-r.SlowStartFrom)*math.Max(0, age.Seconds())/r.SlowStartDuration.Seconds()
}

// hasSlowStartCapacity enforces rule 4: it reports whether a query is within this gateway's share of the work
// that an engine in slow start may be sent in any window. With many gateways the share is less than one
// query, and the engine would idle until it is warm. Small queries are then sent in slots: each gateway may
// send one per period, and periods are so long that all gateways together send what is allowed. Slots start
// at random times and expire unused, so they neither accumulate nor coincide.
func (g *Gateway) hasSlowStartCapacity(e *engine, q *query) bool {
	r, s := &g.cfg.Rules, &e.slowStart
	if g.rampFraction(e) >= 1 || r.SlowStartOverloadFactor <= 0 || r.SlowStartWindow <= 0 {
		s.sends = s.sends[:0]
		return true
	}
	work := g.expectedWork(q)
	sum := s.workSince(g.now-r.SlowStartWindow-g.replyMargin(), work)
	return sum <= g.slowStartShare(e) || g.now < s.slotEndsAt && work <= slowStartMaxSize*g.smallestMeanWork()
}

// slowStartBudget returns the work, in thread seconds, that all gateways together may send an engine per
// window while it has the given share of its capacity.
func (g *Gateway) slowStartBudget(e *engine, capacity float64) float64 {
	r := &g.cfg.Rules
	window := r.SlowStartWindow.Seconds()
	return r.SlowStartOverloadFactor * e.kind.cores * capacityCPUShare * capacity * window
}

// slowStartShare returns the work, in thread seconds, that this gateway may send an engine per window without
// slots.
func (g *Gateway) slowStartShare(e *engine) float64 {
	return slowStartBudgetShare * g.slowStartBudget(e, g.cfg.Rules.SlowStartFrom) / g.gatewayCount
}

// advanceSlowStartSlot advances an engine's slot period by one tick. Periods are so long that the mean work
// sent per window stays slowStartSigmas standard deviations below the budget. The standard deviation of
// query sizes is assumed to equal their mean.
func (g *Gateway) advanceSlowStartSlot(e *engine) {
	r := &g.cfg.Rules
	if g.rampFraction(e) >= 1 || r.SlowStartOverloadFactor <= 0 {
		return
	}
	work := g.smallestMeanWork()
	if work <= g.slowStartShare(e) {
		return
	}
	// How capacity grows is unknown, so it is assumed to grow late.
	grown := math.Pow((g.rampFraction(e)-r.SlowStartFrom)/(1-r.SlowStartFrom), 2)
	budget := g.slowStartBudget(e, r.SlowStartFrom+(1-r.SlowStartFrom)*grown)
	k := slowStartSigmas * math.Sqrt(2*work/budget)
	share := math.Pow((math.Sqrt(k*k+4)-k)/2, 2) // where share + k*sqrt(share) = 1
	windows := tickInterval.Seconds() / r.SlowStartWindow.Seconds()
	s := &e.slowStart
	s.slotProgress += windows * share * budget / (work * g.gatewayCount)
	if s.slotProgress >= 1 {
		s.slotProgress--
		s.slotEndsAt = g.now + r.SlowStartWindow/2
	}
}

// slowStartSendLimit returns the time within which a send to an engine must start; 0: any time before the
// query's deadline. What slow start allows is valid only for a short time: sends that wait for a connection
// would otherwise start together with later sends.
func (g *Gateway) slowStartSendLimit(e *engine) time.Duration {
	if g.rampFraction(e) < 1 && g.cfg.Rules.SlowStartOverloadFactor > 0 {
		return g.cfg.Rules.SlowStartWindow / 2
	}
	return 0
}

// chargeSlowStart records a send to an engine in slow start and uses up its slot.
func (g *Gateway) chargeSlowStart(q *query, e *engine) {
	if g.rampFraction(e) < 1 {
		e.slowStart.sends = append(e.slowStart.sends, slowStartSend{g.now, g.expectedWork(q)})
		e.slowStart.slotEndsAt = 0
	}
}
