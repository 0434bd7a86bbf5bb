package wire

import (
	"strconv"
	"strings"

	"cresspass"
)

// config reads the settings of a new instance from the fields. Unknown settings are ignored.
func (p *parser) config() cresspass.Config {
	cols := p.stringList("feedback.columns")
	c := cresspass.Config{
		Seed: p.unsigned("rng-seed", true), Ordinal: int(p.unsigned("ordinal", false)),
		GatewayCount: int(p.unsigned("peers-total", false)), Zone: p.text("zone"),
		BatchInterval: p.duration("tick-us", false), PollEngineList: p.text("membership-mode") == "ask",
		ClassThreads: p.numberList(
			"specifics.class-threads",
		), ClassIsBulkLoad: p.flagList("specifics.writes-tables"),
		ClassWaitsForBulkLoad: p.flagList("specifics.yields-to-loads"), KindNames: p.stringList("shapes"),
		KindCores: p.numberList(
			"specifics.cpu-of-kind",
		), KindMemoryMB: p.numberList("specifics.kind-memory-mb"),
		OverQuotaPriorityWeight: p.number("over-share-worth"),
		MaxAttempts:             int(p.unsigned("limits.max-attempts", false)),
		MaxRetryAfter: p.duration(
			"limits.max-retry-after-us",
			false,
		), MayCancel: p.flag("limits.cancel"),
		MayHedge: p.flag("limits.may-duplicate"), MayCheckHealth: p.flag("limits.may-probe"),
		MayGossip: p.flag(
			"limits.may-tell",
		), MaySendRetryAfter: p.flag("limits.retry-after"), LoadReportFields: cols,
		AcceptsMemoryGrants: p.flag(
			"specifics.takes-grants",
		), AcceptsPriority: p.flag("specifics.takes-priority"),
		MaxGrantShare: p.number("specifics.max-grant-share"),
		ProgressInterval: p.duration(
			"specifics.progress-pace-us",
			false,
		), ReportsCost: p.flag("specifics.bills"),
	}
	switch p.text("specifics.when-short") {
	case "wait":
		c.OnMemoryShortage = cresspass.ShortageQueues
	case "shrink":
		c.OnMemoryShortage = cresspass.ShortageShrinksGrant
	case "page":
		c.OnMemoryShortage = cresspass.ShortagePages
	}
	_, c.Rules.HasRetryBudget = p.find("rules.look-back-us")
	c.Rules.AnswerGrace = p.duration("rules.grace-to-answer-us", false)
	c.Rules.DrainGrace = p.duration("rules.stop-sending-within-us", false)
	c.Rules.SlowStartFrom = p.number("rules.cold-from")
	c.Rules.SlowStartDuration = p.duration("rules.ramp-time-us", false)
	c.Rules.SlowStartOverloadFactor = p.number("rules.overload-factor")
	c.Rules.SlowStartWindow = p.duration("rules.overload-for-us", false)
	c.Rules.EngineListPollInterval = p.duration("rules.must-ask-in-us", false)
	c.Rules.OrderSettleDelay = p.duration("rules.settle-after-doubt-us", false)
	c.Rules.RetryBudgetFree = p.number("rules.free-resends")
	c.Rules.RetryBudgetRatio = p.number("rules.further-ratio")
	c.Rules.RetryBudgetWindow = p.duration("rules.look-back-us", false)
	for i := range p.unsigned("classes.count", false) {
		c.Classes = append(c.Classes, p.class("classes."+strconv.FormatUint(i, 10)+"."))
	}
	for i := range p.unsigned("tenants.count", false) {
		prefix := "tenants." + strconv.FormatUint(i, 10) + "."
		c.Tenants = append(c.Tenants, cresspass.Tenant{Name: p.text(prefix + "name"),
			QuotaPerSecond: p.number(prefix + "quota-per-s"), Share: p.number(prefix + "share")})
	}
	return c
}

// class reads the settings of a class of queries, whose paths begin with prefix.
func (p *parser) class(prefix string) cresspass.Class {
	c := cresspass.Class{
		Name: p.text(prefix + "name"), LatencyObjective: p.duration(prefix+"aim-us", false),
		ObjectiveStretch: p.number(prefix + "aim-stretch"), Deadline: p.duration(prefix+"deadline-us", false),
		PriorityWeight: p.number(prefix + "importance"), LateAnswerValue: p.number(prefix + "late-value"),
		DeduplicationWindow: p.duration(prefix+"window-us", false), OrderedByKey: p.flag(prefix + "in-turn"),
		AllowedKinds: p.stringList(prefix + "bound-to"), AllowedZones: p.stringList(prefix + "runs-in"),
		Effect: parseWord(p, prefix+"semantics", map[string]cresspass.Effect{"safe": cresspass.Idempotent,
			"keyed": cresspass.IdempotentWithKey, "unsafe": cresspass.NotIdempotent}),
	}
	if _, ok := p.find(prefix + "key-scope"); ok {
		c.DeduplicationScope = parseWord(
			p,
			prefix+"key-scope",
			map[string]cresspass.DeduplicationScope{"all": cresspass.ScopeAll,
				"zone": cresspass.ScopeZone, "cell": cresspass.ScopeCell},
		)
	}
	return c
}

func (p *parser) stringList(name string) []string {
	v := p.text(name)
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func (p *parser) numberList(name string) []float64 {
	out, _ := p.findNumbers(name)
	return out
}

func (p *parser) flagList(name string) []bool {
	var out []bool
	for _, v := range p.stringList(name) {
		if v != "true" && v != "false" && v != "1" && v != "0" {
			p.invalid(name, "true or false, set apart by commas")
		}
		out = append(out, v == "true" || v == "1")
	}
	return out
}

// Setting is one setting of a dispatcher: its path, such as "rules.cold-from", and its value as text.
type Setting struct{ Path, Value string }

// ConfigFromSettings reads the settings of a dispatcher. Their names and units are those that the simulator
// sends to a new instance.
func ConfigFromSettings(settings []Setting) (cresspass.Config, error) {
	p := parser{reader: &Reader{}}
	for _, s := range settings {
		p.fields = append(p.fields, field{s.Path, s.Value})
	}
	c := p.config()
	return c, p.err
}
