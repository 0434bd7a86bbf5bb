package wire

import (
	"strconv"
	"strings"

	"cresspass"
)

// config reads the settings of a new instance. Settings it does not know are ignored.
func (p *parser) config() cresspass.Config {
	cols := p.texts("feedback.columns")
	c := cresspass.Config{
		Seed: p.whole("rng-seed", true), Ordinal: int(p.whole("ordinal", false)),
		Gateways: int(p.whole("peers-total", false)), Zone: p.text("zone"),
		Tick: p.micros("tick-us", false), AskList: p.text("membership-mode") == "ask",
		ClassThreads: p.numbers("specifics.class-threads"), ClassLoads: p.flags("specifics.writes-tables"),
		ClassWaits: p.flags("specifics.yields-to-loads"), KindNames: p.texts("shapes"),
		KindCores: p.numbers("specifics.cpu-of-kind"), KindMemoryMB: p.numbers("specifics.kind-memory-mb"),
		OverShareWorth: p.number("over-share-worth"),
		MaxAttempts:    int(p.whole("limits.max-attempts", false)),
		MaxComeBack:    p.micros("limits.max-retry-after-us", false), MayCancel: p.flag("limits.cancel"),
		MayDuplicate: p.flag("limits.may-duplicate"), MayProbe: p.flag("limits.may-probe"),
		MayTell: p.flag("limits.may-tell"), MayComeBack: p.flag("limits.retry-after"), ReportFields: cols,
		TakesGrants: p.flag("specifics.takes-grants"), TakesPriority: p.flag("specifics.takes-priority"),
		MaxGrantShare: p.number("specifics.max-grant-share"),
		ProgressEvery: p.micros("specifics.progress-pace-us", false), TellsCost: p.flag("specifics.bills"),
	}
	switch p.text("specifics.when-short") {
	case "wait":
		c.WhenShort = cresspass.ShortageWait
	case "shrink":
		c.WhenShort = cresspass.ShortageShrink
	case "page":
		c.WhenShort = cresspass.ShortagePage
	}
	_, c.Rules.HasBudget = p.find("rules.look-back-us")
	c.Rules.AnswerGrace = p.micros("rules.grace-to-answer-us", false)
	c.Rules.DrainGrace = p.micros("rules.stop-sending-within-us", false)
	c.Rules.ColdFrom = p.number("rules.cold-from")
	c.Rules.ColdFor = p.micros("rules.ramp-time-us", false)
	c.Rules.ColdMultiple = p.number("rules.overload-factor")
	c.Rules.ColdWindow = p.micros("rules.overload-for-us", false)
	c.Rules.AskWithin = p.micros("rules.must-ask-in-us", false)
	c.Rules.OrderRest = p.micros("rules.settle-after-doubt-us", false)
	c.Rules.BudgetFree = p.number("rules.free-resends")
	c.Rules.BudgetShare = p.number("rules.further-ratio")
	c.Rules.BudgetLookBack = p.micros("rules.look-back-us", false)
	for i := range p.whole("classes.count", false) {
		c.Classes = append(c.Classes, p.class("classes."+strconv.FormatUint(i, 10)+"."))
	}
	for i := range p.whole("tenants.count", false) {
		at := "tenants." + strconv.FormatUint(i, 10) + "."
		c.Tenants = append(c.Tenants, cresspass.Tenant{Name: p.text(at + "name"),
			Quota: p.number(at + "quota-per-s"), Share: p.number(at + "share")})
	}
	return c
}

func (p *parser) class(at string) cresspass.Class {
	c := cresspass.Class{
		Name: p.text(at + "name"), Aim: p.micros(at+"aim-us", false),
		AimStretch: p.number(at + "aim-stretch"), Deadline: p.micros(at+"deadline-us", false),
		Worth: p.number(at + "importance"), LateValue: p.number(at + "late-value"),
		Window: p.micros(at+"window-us", false), InOrder: p.flag(at + "in-turn"),
		Kinds: p.texts(at + "bound-to"), Zones: p.texts(at + "runs-in"),
		Effect: choose(p, at+"semantics", map[string]cresspass.Effect{"safe": cresspass.Safe,
			"keyed": cresspass.Keyed, "unsafe": cresspass.Unsafe}),
	}
	if _, ok := p.find(at + "key-scope"); ok {
		c.Scope = choose(p, at+"key-scope", map[string]cresspass.Scope{"all": cresspass.ScopeAll,
			"zone": cresspass.ScopeZone, "cell": cresspass.ScopeCell})
	}
	return c
}

func (p *parser) texts(name string) []string {
	v := p.text(name)
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func (p *parser) numbers(name string) []float64 {
	out, _ := p.row(name)
	return out
}

func (p *parser) flags(name string) []bool {
	var out []bool
	for _, v := range p.texts(name) {
		if v != "true" && v != "false" && v != "1" && v != "0" {
			p.bad(name, "true or false, set apart by commas")
		}
		out = append(out, v == "true" || v == "1")
	}
	return out
}

// Setting is one of a dispatcher's settings: its path in the settings, and its value.
type Setting struct{ Path, Value string }

// ConfigOf reads the settings of a dispatcher, with the same names and units as a new instance of the simulator has.
func ConfigOf(settings []Setting) (cresspass.Config, error) {
	p := parser{reader: &Reader{}}
	for _, s := range settings {
		p.fields = append(p.fields, field{s.Path, s.Value})
	}
	c := p.config()
	return c, p.err
}
