package cresspass

import "math"

// handleMembership has all shares follow the number of gateways. Limits that were widened as one of few
// gateways would together be far too wide for many, and would shrink only as engines fill, so they are cut
// at once.
func (g *Gateway) handleMembership(ordinal int, count float64) {
	if !(count >= 1 && count < math.MaxInt32) || ordinal < 0 || float64(ordinal) >= count {
		return
	}
	if ordinal != g.cfg.Ordinal || count != g.gatewayCount { // an ordinal may be another's now
		clear(g.gossip.reports)
		g.gossip.rounds = 0
	}
	fewer := math.Min(1, g.gatewayCount/count)
	g.cfg.Ordinal, g.cfg.GatewayCount, g.gatewayCount = ordinal, int(count), count
	for _, e := range g.engineList {
		e.limiter.limit = math.Max(e.limiter.limit*fewer, g.initialThreadLimit(e))
	}
	for _, t := range g.cfg.Tenants {
		g.tenants[t.Name].rate = t.QuotaPerSecond / count
	}
}
