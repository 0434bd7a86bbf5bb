package cresspass

import (
	"math"
	"testing"
	"time"
)

// TestSharesFollowMembership: when the number of gateways changes, all shares follow at once: slow start,
// thread limits that were raised among few gateways, tenants' quotas. Gateways whose clocks started at
// different times agree on one aggregator.
func TestSharesFollowMembership(t *testing.T) {
	cfg := singleClassConfig()
	cfg.MayGossip, cfg.GatewayCount, cfg.Tenants = true, 2, []Tenant{{Name: "t", QuotaPerSecond: 100}}
	h := newHarness(t, cfg, standardEngines(3)...)
	changeMembership := func(ordinal int, n float64, clock time.Duration) {
		h.advance(ms, Event{Type: MembershipChanged, Peer: ordinal, Value: n, Elapsed: clock})
	}
	e := h.g.engineList[0]
	e.limiter.limit = 12
	if changeMembership(1, 6, 0); e.limiter.limit != 4 || h.g.tenants["t"].rate != 100.0/6 ||
		h.g.cfg.Ordinal != 1 {
		t.Errorf(
			"from 2 to 6 gateways: limit %g, quota %g, ordinal %d",
			e.limiter.limit,
			h.g.tenants["t"].rate,
			h.g.cfg.Ordinal,
		)
	}
	if changeMembership(0, 2, 0); e.limiter.limit != 4 || h.g.tenants["t"].rate != 50 ||
		h.g.gatewayCount != 2 {
		t.Errorf("from 6 to 2 gateways: limit %g, quota %g", e.limiter.limit, h.g.tenants["t"].rate)
	}
	for _, bad := range []Event{{Peer: 2, Value: 2}, {Peer: -1, Value: 3}, {Value: 0.5},
		{Value: math.NaN()}} {
		bad.Type = MembershipChanged
		if h.advance(ms, bad); h.g.gatewayCount != 2 || h.g.cfg.Ordinal != 0 {
			t.Errorf("invalid membership %+v was accepted", bad)
		}
	}
	cfg.GatewayCount = 50
	one, other := newHarness(t, cfg, standardEngines(3)...), newHarness(t, cfg, standardEngines(3)...)
	other.now += 37 * time.Minute
	disagreements := 0
	for i := range 40 {
		clock := time.Duration(i) * aggregatorTermLength
		one.advance(ms, Event{Type: MembershipChanged, Value: 50, Elapsed: clock})
		other.advance(ms, Event{Type: MembershipChanged, Value: 50, Elapsed: clock + 100*ms})
		if one.g.aggregator(one.g.aggregatorTerm()) != other.g.aggregator(other.g.aggregatorTerm()) {
			disagreements++
		}
	}
	if disagreements > 0 {
		t.Errorf("%d of 40 terms had two aggregators, want none", disagreements)
	}
}
