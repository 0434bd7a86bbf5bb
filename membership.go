package cresspass

import "math"

// handleMembership adapts all shares to the number of gateways. Thread limits that were raised when there
// were few gateways would together be far too high for many. They would fall only as engines fill, so they
// are cut at once.
func (g *Gateway) handleMembership(ordinal int, count float64) {
	if !(count >= 1 && count < math.MaxInt32) || ordinal < 0 || float64(ordinal) >= count {
		return
	}
	if ordinal != g.cfg.Ordinal || count != g.gatewayCount { // an ordinal may now be another gateway's
		clear(g.gossip.reports)
		g.gossip.rounds = 0
	}
	shrinkFactor := math.Min(1, g.gatewayCount/count)
	g.cfg.Ordinal, g.cfg.GatewayCount, g.gatewayCount = ordinal, int(count), count
	for _, e := range g.engineList {
		e.limiter.limit = math.Max(e.limiter.limit*shrinkFactor, g.initialThreadLimit(e))
	}
	for _, t := range g.cfg.Tenants {
		g.tenants[t.Name].rate = t.QuotaPerSecond / count
	}
}
