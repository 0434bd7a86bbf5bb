package cresspass

import (
	"math"
)

const (
	pagingPower        = 2.5  // at twice its memory a paging engine is some six times slower
	initialGrantFactor = 1.25 // memory granted over the estimate, adapted by class
	grantIncrease      = 0.06
	grantDecrease      = 0.01
	topPriority        = 3
)

// pagingFactor is how many times slower a query is for want of memory, where engines report what they
// granted. Danger: in an engine that pages nothing ends, so no outcome shows it, and all it holds keeps its
// memory.
func (g *Gateway) pagingFactor(q *query, e *engine) float64 {
	if e.kind.memoryMB <= 0 || e.grantedMemory <= 0 || g.cfg.OnMemoryShortage != ShortagePages {
		return 1
	}
	return math.Pow(math.Max(1, e.grantedMemory+q.memoryMB/e.kind.memoryMB), pagingPower)
}

// setResources names memory and priority for the attempt about to be sent, where the settings heed them.
func (g *Gateway) setResources(a *attempt) {
	q := a.query
	t := Action{Type: SetResources, Query: q.id, Priority: 1}
	if g.cfg.AcceptsPriority { // classes rank by worth for each second of work
		t.Priority = topPriority
		for _, c := range g.classList {
			if c.PriorityWeight/c.meanWork > q.class.PriorityWeight/q.class.meanWork {
				t.Priority = max(t.Priority-1, 1)
			}
		}
	}
	most := g.cfg.MaxGrantShare * a.engine.kind.memoryMB
	switch {
	case !g.cfg.AcceptsMemoryGrants:
	case g.cfg.OnMemoryShortage == ShortagePages:
		t.MemoryGrantMB = most // only memory in use counts there, so a generous grant costs nothing
	case q.memoryMB > 0:
		t.MemoryGrantMB = q.memoryMB * q.class.grantFactor
		if most > 0 {
			t.MemoryGrantMB = math.Min(t.MemoryGrantMB, most)
		}
	}
	if a.grantMB = t.MemoryGrantMB; g.cfg.AcceptsMemoryGrants || g.cfg.AcceptsPriority {
		g.emit(t)
	}
}

// adaptGrant steers a class's grant so that few of its queries spill. Danger: where neither notes nor costs
// are told nothing ever raises a grant; were it cut, all of its class would spill more and more.
func (g *Gateway) adaptGrant(a *attempt, needed float64) {
	switch {
	case a.grantMB <= 0 || a.query.memoryMB <= 0:
	case a.spilled || needed > a.grantMB:
		a.query.class.grantFactor *= 1 + grantIncrease
	case needed > 0 || g.cfg.ProgressInterval > 0:
		a.query.class.grantFactor *= 1 - grantDecrease
	}
}
