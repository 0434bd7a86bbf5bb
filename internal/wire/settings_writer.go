package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cresspass"
)

// settingsBuilder collects settings in the wire's units. Zero values are left out, except by always.
type settingsBuilder struct{ settings []Setting }

// text adds a setting, unless its value is "", "0" or "false".
func (b *settingsBuilder) text(path, value string) {
	if value != "" && value != "0" && value != "false" {
		b.always(path, value)
	}
}

// always adds a setting, also with a zero value.
func (b *settingsBuilder) always(path, value string) {
	b.settings = append(b.settings, Setting{path, value})
}

func (b *settingsBuilder) integer(path string, v int) { b.text(path, strconv.Itoa(v)) }

func (b *settingsBuilder) number(path string, v float64) { b.text(path, formatFloat(v)) }

func (b *settingsBuilder) flag(path string, on bool) { b.text(path, strconv.FormatBool(on)) }

func (b *settingsBuilder) duration(path string, d time.Duration) {
	b.text(path, strconv.FormatInt(d.Microseconds(), 10))
}

func (b *settingsBuilder) stringList(path string, list []string) {
	escaped := make([]string, 0, len(list))
	for _, w := range list {
		escaped = append(escaped, escapeWord(w))
	}
	b.text(path, strings.Join(escaped, ","))
}

func (b *settingsBuilder) numberList(path string, values []float64) {
	if len(values) > 0 {
		b.always(path, formatFloats(values))
	}
}

func (b *settingsBuilder) flagList(path string, values []bool) {
	text := make([]string, 0, len(values))
	for _, v := range values {
		text = append(text, strconv.FormatBool(v))
	}
	if len(values) > 0 {
		b.always(path, strings.Join(text, ","))
	}
}

// SettingsFromConfig returns the settings of a dispatcher with the simulator's names and units;
// ConfigFromSettings reads them back. Zero values are left out if a missing setting is read as zero.
// MaxSessionsPerEngine is left out, too: the protocol has no setting for it.
func SettingsFromConfig(c *cresspass.Config) []Setting {
	b := &settingsBuilder{}
	b.dispatcher(c)
	b.limits(c)
	b.rules(&c.Rules)
	b.integer("classes.count", len(c.Classes))
	for i := range c.Classes {
		b.class(fmt.Sprintf("classes.%d.", i), &c.Classes[i])
	}
	b.integer("tenants.count", len(c.Tenants))
	for i, t := range c.Tenants {
		prefix := fmt.Sprintf("tenants.%d.", i)
		b.text(prefix+"name", escapeWord(t.Name))
		b.number(prefix+"quota-per-s", t.QuotaPerSecond)
		b.number(prefix+"share", t.Share)
	}
	return b.settings
}

func (b *settingsBuilder) dispatcher(c *cresspass.Config) {
	// The wire's numbers have 63 bits, so the seed loses its highest bit. If the seed lost its lowest bit
	// instead, two dispatchers with consecutive seeds would draw the same random numbers.
	b.always("rng-seed", strconv.FormatUint(c.Seed&math.MaxInt64, 10))
	b.integer("ordinal", c.Ordinal)
	b.integer("peers-total", c.GatewayCount)
	b.text("zone", escapeWord(c.Zone))
	b.duration("tick-us", c.BatchInterval)
	mode := "push"
	if c.PollEngineList {
		mode = "ask"
	}
	b.text("membership-mode", mode)
	b.numberList("specifics.class-threads", c.ClassThreads)
	b.flagList("specifics.writes-tables", c.ClassIsBulkLoad)
	b.flagList("specifics.yields-to-loads", c.ClassWaitsForBulkLoad)
	b.stringList("shapes", c.KindNames)
	b.numberList("specifics.cpu-of-kind", c.KindCores)
	b.numberList("specifics.kind-memory-mb", c.KindMemoryMB)
}

func (b *settingsBuilder) limits(c *cresspass.Config) {
	b.number("over-share-worth", c.OverQuotaPriorityWeight)
	b.integer("limits.max-attempts", c.MaxAttempts)
	b.duration("limits.max-retry-after-us", c.MaxRetryAfter)
	b.flag("limits.cancel", c.MayCancel)
	b.flag("limits.may-duplicate", c.MayHedge)
	b.flag("limits.may-probe", c.MayCheckHealth)
	b.flag("limits.may-tell", c.MayGossip)
	b.flag("limits.retry-after", c.MaySendRetryAfter)
	b.stringList("feedback.columns", c.LoadReportFields)
	b.flag("specifics.takes-grants", c.AcceptsMemoryGrants)
	b.flag("specifics.takes-priority", c.AcceptsPriority)
	b.number("specifics.max-grant-share", c.MaxGrantShare)
	b.duration("specifics.progress-pace-us", c.ProgressInterval)
	b.flag("specifics.bills", c.ReportsCost)
	b.text("specifics.when-short", map[cresspass.MemoryShortage]string{
		cresspass.ShortageQueues: "wait", cresspass.ShortageShrinksGrant: "shrink",
		cresspass.ShortagePages: "page",
	}[c.OnMemoryShortage])
}

func (b *settingsBuilder) rules(r *cresspass.Rules) {
	b.duration("rules.grace-to-answer-us", r.AnswerGrace)
	b.duration("rules.stop-sending-within-us", r.DrainGrace)
	b.number("rules.cold-from", r.SlowStartFrom)
	b.duration("rules.ramp-time-us", r.SlowStartDuration)
	b.number("rules.overload-factor", r.SlowStartOverloadFactor)
	b.duration("rules.overload-for-us", r.SlowStartWindow)
	b.duration("rules.must-ask-in-us", r.EngineListPollInterval)
	b.duration("rules.settle-after-doubt-us", r.OrderSettleDelay)
	if r.HasRetryBudget {
		b.number("rules.free-resends", r.RetryBudgetFree)
		b.number("rules.further-ratio", r.RetryBudgetRatio)
		b.always("rules.look-back-us", strconv.FormatInt(r.RetryBudgetWindow.Microseconds(), 10))
	}
}

func (b *settingsBuilder) class(prefix string, c *cresspass.Class) {
	b.text(prefix+"name", escapeWord(c.Name))
	b.duration(prefix+"aim-us", c.LatencyObjective)
	b.number(prefix+"aim-stretch", c.ObjectiveStretch)
	b.duration(prefix+"deadline-us", c.Deadline)
	b.number(prefix+"importance", c.PriorityWeight)
	b.number(prefix+"late-value", c.LateAnswerValue)
	b.duration(prefix+"window-us", c.DeduplicationWindow)
	b.flag(prefix+"in-turn", c.OrderedByKey)
	b.stringList(prefix+"bound-to", c.AllowedKinds)
	b.stringList(prefix+"runs-in", c.AllowedZones)
	b.text(prefix+"semantics", map[cresspass.Effect]string{
		cresspass.Idempotent: "safe", cresspass.IdempotentWithKey: "keyed", cresspass.NotIdempotent: "unsafe",
	}[c.Effect])
	b.text(prefix+"key-scope", map[cresspass.DeduplicationScope]string{
		cresspass.ScopeAll: "all", cresspass.ScopeZone: "zone", cresspass.ScopeCell: "cell",
	}[c.DeduplicationScope])
}
