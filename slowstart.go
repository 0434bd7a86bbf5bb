package cresspass

import (
	"math"
	"slices"
	"time"
)

const (
	slowStartBudgetShare = 0.5  // part of the cold budget used, for chance and mistaken work
	slowStartSigmas      = 5.0  // between the mean of what goes by turns and the budget
	slowStartMaxSize     = 3.0  // of the smallest class's mean work: no larger query goes by a turn
	capacityCPUShare     = 0.85 // a capacity is the rate at which cores are this busy
)

// hasSlowStartCapacity is rule 4: this gateway's part of what a cold engine may be sent in any window.
// Danger: where many gateways share it, the part is under one query, and an engine would idle until it is
// warm. Small queries then go by turns: each gateway may send one a period, so long that all together send
// what is allowed. Turns start at random and lapse unused, so that they neither add up nor meet.
func (g *Gateway) hasSlowStartCapacity(e *engine, q *query) bool {
	r := &g.cfg.Rules
	if g.rampFraction(e) >= 1 || r.SlowStartOverloadFactor <= 0 || r.SlowStartWindow <= 0 {
		e.slowStartSends = e.slowStartSends[:0]
		return true
	}
	work := g.expectedWork(q)
	from := g.now - r.SlowStartWindow - g.replyMargin()
	e.slowStartSends = slices.DeleteFunc(e.slowStartSends, func(s slowStartSend) bool { return s.at < from })
	sum := work
	for _, s := range e.slowStartSends {
		sum += s.work
	}
	return sum <= slowStartBudgetShare*g.slowStartBudget(e, r.SlowStartFrom)/g.gatewayCount ||
		g.now < e.slotEndsAt && work <= slowStartMaxSize*g.smallestMeanWork()
}

// slowStartBudget is what all gateways together may send an engine of some warmth in a window.
func (g *Gateway) slowStartBudget(e *engine, warmth float64) float64 {
	r := &g.cfg.Rules
	return r.SlowStartOverloadFactor * e.kind.cores * capacityCPUShare * warmth * r.SlowStartWindow.Seconds()
}

// advanceSlowStartSlot counts the periods of a cold engine's turns. They are so long that the mean of what
// is sent in a window stays under the budget by slowStartSigmas standard deviations, sizes spreading as
// widely as their mean.
func (g *Gateway) advanceSlowStartSlot(e *engine) {
	if g.rampFraction(e) >= 1 || g.cfg.Rules.SlowStartOverloadFactor <= 0 {
		return
	}
	r := &g.cfg.Rules
	work := g.smallestMeanWork()
	if work <= slowStartBudgetShare*g.slowStartBudget(e, r.SlowStartFrom)/g.gatewayCount {
		return
	}
	grown := math.Pow(
		(g.rampFraction(e)-r.SlowStartFrom)/(1-r.SlowStartFrom),
		2,
	) // how it warms is not told: late, then
	budget := g.slowStartBudget(e, r.SlowStartFrom+(1-r.SlowStartFrom)*grown)
	k := slowStartSigmas * math.Sqrt(2*work/budget)
	share := math.Pow((math.Sqrt(k*k+4)-k)/2, 2) // where share + k*sqrt(share) = 1
	windows := tickInterval.Seconds() / r.SlowStartWindow.Seconds()
	if e.slotProgress += windows * share * budget / (work * g.gatewayCount); e.slotProgress >= 1 {
		e.slotProgress--
		e.slotEndsAt = g.now + r.SlowStartWindow/2
	}
}

type slowStartSend struct {
	at   time.Duration
	work float64
}

// rampFraction is the share of its capacity a started engine has at least.
func (g *Gateway) rampFraction(e *engine) float64 {
	age, r := g.now-e.StartedAt, &g.cfg.Rules
	if e.StartedAt <= 0 || r.SlowStartDuration <= 0 || age >= r.SlowStartDuration || r.SlowStartFrom <= 0 {
		return 1
	}
	return r.SlowStartFrom + (1-r.SlowStartFrom)*math.Max(0, age.Seconds())/r.SlowStartDuration.Seconds()
}
