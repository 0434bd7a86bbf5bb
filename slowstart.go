package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	slowStartBudgetShare = 0.5  // part of the budget used, for chance and mistaken work
	slowStartSigmas      = 5.0  // between the mean of what goes by slots and the budget
	slowStartMaxSize     = 3.0  // of the smallest class's mean work: no larger query goes by a slot
	capacityCPUShare     = 0.85 // a capacity is the rate at which cores are this busy
)

// slowStartState is what one engine in slow start (rule 4) was sent, and the slots by which small queries
// go to it.
type slowStartState struct {
	sends        []slowStartSend // inside the window
	slotProgress float64         // part of a slot's period that has passed
	slotEndsAt   time.Duration   // a query may go by a slot until then
}

type slowStartSend struct {
	at   time.Duration
	work float64
}

// resetSlots begins a period at some part of it. What was sent stays counted.
func (s *slowStartState) resetSlots(progress float64) { s.slotProgress, s.slotEndsAt = progress, 0 }

// workSince drops what was sent earlier and returns the work sent since.
func (s *slowStartState) workSince(from time.Duration, work float64) float64 {
	s.sends = slices.DeleteFunc(s.sends, func(sent slowStartSend) bool { return sent.at < from })
	for _, sent := range s.sends {
		work += sent.work
	}
	return work
}

// rampFraction is the share of its capacity a started engine has at least.
func (g *Gateway) rampFraction(e *engine) float64 {
	age, r := g.now-e.StartedAt, &g.cfg.Rules
	if e.StartedAt <= 0 || r.SlowStartDuration <= 0 || age >= r.SlowStartDuration || r.SlowStartFrom <= 0 {
		return 1
	}
	return r.SlowStartFrom + (1-r.SlowStartFrom)*math.Max(0, age.Seconds())/r.SlowStartDuration.Seconds()
}

// hasSlowStartCapacity is rule 4: this gateway's part of what an engine in slow start may be sent in any
// window. Where many gateways share it, the part is under one query, and an engine would idle until it is
// warm. Small queries then go by slots: each gateway may send one a period, so long that all together send
// what is allowed. Slots start at random and lapse unused, so that they neither add up nor meet.
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

// slowStartBudget is what all gateways together may send an engine in a window at a share of its capacity.
func (g *Gateway) slowStartBudget(e *engine, capacity float64) float64 {
	r := &g.cfg.Rules
	window := r.SlowStartWindow.Seconds()
	return r.SlowStartOverloadFactor * e.kind.cores * capacityCPUShare * capacity * window
}

// slowStartShare is what this gateway may send an engine in a window without slots.
func (g *Gateway) slowStartShare(e *engine) float64 {
	return slowStartBudgetShare * g.slowStartBudget(e, g.cfg.Rules.SlowStartFrom) / g.gatewayCount
}

// advanceSlowStartSlot counts the periods of an engine's slots. They are so long that the mean of what is
// sent in a window stays under the budget by slowStartSigmas standard deviations, sizes spreading as widely
// as their mean.
func (g *Gateway) advanceSlowStartSlot(e *engine) {
	r := &g.cfg.Rules
	if g.rampFraction(e) >= 1 || r.SlowStartOverloadFactor <= 0 {
		return
	}
	work := g.smallestMeanWork()
	if work <= g.slowStartShare(e) {
		return
	}
	// How capacity grows is unknown, so it is taken to grow late.
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

// slowStartSendLimit is the time within which a send to an engine must start; 0: before the query's
// deadline. What slow start allows holds for a moment: sends that wait for a connection would come together
// with later ones.
func (g *Gateway) slowStartSendLimit(e *engine) time.Duration {
	if g.rampFraction(e) < 1 && g.cfg.Rules.SlowStartOverloadFactor > 0 {
		return g.cfg.Rules.SlowStartWindow / 2
	}
	return 0
}

// chargeSlowStart counts what is sent to an engine in slow start.
func (g *Gateway) chargeSlowStart(q *query, e *engine) {
	if g.rampFraction(e) < 1 {
		e.slowStart.sends = append(e.slowStart.sends, slowStartSend{g.now, g.expectedWork(q)})
		e.slowStart.slotEndsAt = 0
	}
}
