package cresspass

import "math"

const (
	initialGrantFactor = 1.25 // memory granted over the estimate; adapted per class
	grantIncrease      = 0.06 // share by which a spill raises the factor
	grantDecrease      = 0.01 // share by which an answer without a spill lowers the factor
	topPriority        = 3    // engines accept priorities from 1 to this
	pagingPower        = 2.5  // at twice its memory a paging engine is about six times slower
)

// pagingFactor returns how many times slower a query is because the engine pages. Engines report the memory
// that they granted. While an engine pages no query ends there, so no outcome shows the paging, and its
// queries keep their memory. Without reports the factor is 1.
func (g *Gateway) pagingFactor(q *query, e *engine) float64 {
	if e.kind.memoryMB <= 0 || e.grantedMemory <= 0 || g.cfg.OnMemoryShortage != ShortagePages {
		return 1
	}
	return math.Pow(math.Max(1, e.grantedMemory+q.memoryMB/e.kind.memoryMB), pagingPower)
}

// setResources emits the memory grant and the priority of an attempt that is about to be sent, as far as
// engines accept them.
func (g *Gateway) setResources(a *attempt) {
	if !g.cfg.AcceptsMemoryGrants && !g.cfg.AcceptsPriority {
		return
	}
	action := Action{Type: SetResources, Query: a.query.id, Priority: 1}
	if g.cfg.AcceptsPriority {
		action.Priority = g.priority(a.query.class)
	}
	if g.cfg.AcceptsMemoryGrants {
		action.MemoryGrantMB = g.memoryGrant(a)
	}
	a.grantMB = action.MemoryGrantMB
	g.emit(action)
}

// priority returns the priority of a class: topPriority less the number of classes with a higher priority
// weight per thread second of work, but at least 1.
func (g *Gateway) priority(ranked *class) int {
	rank := topPriority
	for _, c := range g.classList {
		if c.PriorityWeight/c.meanWork > ranked.PriorityWeight/ranked.meanWork {
			rank = max(rank-1, 1)
		}
	}
	return rank
}

func (g *Gateway) memoryGrant(a *attempt) float64 {
	q := a.query
	maxGrant := g.cfg.MaxGrantShare * a.engine.kind.memoryMB
	if g.cfg.OnMemoryShortage == ShortagePages {
		return maxGrant // only memory in use counts on such engines, so a large grant costs nothing
	}
	if q.memoryMB <= 0 {
		return 0
	}
	grant := q.memoryMB * q.class.grantFactor
	if maxGrant > 0 {
		grant = math.Min(grant, maxGrant)
	}
	return grant
}

// adaptGrant adapts a class's grantFactor so that few of its queries spill. If neither notes nor costs are
// reported, nothing would ever raise a grant, so it is not lowered either. Otherwise the queries of the class
// would spill more and more.
func (g *Gateway) adaptGrant(a *attempt, neededMB float64) {
	c := a.query.class
	switch {
	case a.grantMB <= 0 || a.query.memoryMB <= 0:
	case a.spilled || neededMB > a.grantMB:
		c.grantFactor *= 1 + grantIncrease
	case neededMB > 0 || g.cfg.ProgressInterval > 0:
		c.grantFactor *= 1 - grantDecrease
	}
}
