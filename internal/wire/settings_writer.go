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

func (b *settingsBuilder) number(path string, v float64) { b.text(path, float(v)) }

func (b *settingsBuilder) flag(path string, on bool) { b.text(path, strconv.FormatBool(on)) }

func (b *settingsBuilder) micros(path string, d time.Duration) {
	b.text(path, strconv.FormatInt(d.Microseconds(), 10))
}

func (b *settingsBuilder) words(path string, list []string) {
	escaped := make([]string, 0, len(list))
	for _, w := range list {
		escaped = append(escaped, escapeWord(w))
	}
	b.text(path, strings.Join(escaped, ","))
}

func (b *settingsBuilder) numbers(path string, values []float64) {
	if len(values) > 0 {
		b.always(path, floats(values))
	}
}

func (b *settingsBuilder) flags(path string, values []bool) {
	text := make([]string, 0, len(values))
	for _, v := range values {
		text = append(text, strconv.FormatBool(v))
	}
	if len(values) > 0 {
		b.always(path, strings.Join(text, ","))
	}
}

// SettingsFromConfig returns the settings of a dispatcher with the simulator's names and units;
// ConfigFromSettings reads them back. Zero values are left out if a missing setting is read as zero, and so
// is MaxSessionsPerEngine, for which the protocol has no setting.
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
		at := fmt.Sprintf("tenants.%d.", i)
		b.text(at+"name", escapeWord(t.Name))
		b.number(at+"quota-per-s", t.QuotaPerSecond)
		b.number(at+"share", t.Share)
	}
	return b.settings
}

func (b *settingsBuilder) dispatcher(c *cresspass.Config) {
	// The wire's numbers have 63 bits, so the seed loses its highest bit. If it lost the lowest instead, two
	// dispatchers with consecutive seeds would draw the same random numbers.
	b.always("rng-seed", strconv.FormatUint(c.Seed&math.MaxInt64, 10))
	b.integer("ordinal", c.Ordinal)
	b.integer("peers-total", c.GatewayCount)
	b.text("zone", escapeWord(c.Zone))
	b.micros("tick-us", c.BatchInterval)
	mode := "push"
	if c.PollEngineList {
		mode = "ask"
	}
	b.text("membership-mode", mode)
	b.numbers("specifics.class-threads", c.ClassThreads)
	b.flags("specifics.writes-tables", c.ClassIsBulkLoad)
	b.flags("specifics.yields-to-loads", c.ClassWaitsForBulkLoad)
	b.words("shapes", c.KindNames)
	b.numbers("specifics.cpu-of-kind", c.KindCores)
	b.numbers("specifics.kind-memory-mb", c.KindMemoryMB)
}

func (b *settingsBuilder) limits(c *cresspass.Config) {
	b.number("over-share-worth", c.OverQuotaPriorityWeight)
	b.integer("limits.max-attempts", c.MaxAttempts)
	b.micros("limits.max-retry-after-us", c.MaxRetryAfter)
	b.flag("limits.cancel", c.MayCancel)
	b.flag("limits.may-duplicate", c.MayHedge)
	b.flag("limits.may-probe", c.MayCheckHealth)
	b.flag("limits.may-tell", c.MayGossip)
	b.flag("limits.retry-after", c.MaySendRetryAfter)
	b.words("feedback.columns", c.LoadReportFields)
	b.flag("specifics.takes-grants", c.AcceptsMemoryGrants)
	b.flag("specifics.takes-priority", c.AcceptsPriority)
	b.number("specifics.max-grant-share", c.MaxGrantShare)
	b.micros("specifics.progress-pace-us", c.ProgressInterval)
	b.flag("specifics.bills", c.ReportsCost)
	b.text("specifics.when-short", map[cresspass.MemoryShortage]string{
		cresspass.ShortageQueues: "wait", cresspass.ShortageShrinksGrant: "shrink",
		cresspass.ShortagePages: "page",
	}[c.OnMemoryShortage])
}

func (b *settingsBuilder) rules(r *cresspass.Rules) {
	b.micros("rules.grace-to-answer-us", r.AnswerGrace)
	b.micros("rules.stop-sending-within-us", r.DrainGrace)
	b.number("rules.cold-from", r.SlowStartFrom)
	b.micros("rules.ramp-time-us", r.SlowStartDuration)
	b.number("rules.overload-factor", r.SlowStartOverloadFactor)
	b.micros("rules.overload-for-us", r.SlowStartWindow)
	b.micros("rules.must-ask-in-us", r.EngineListPollInterval)
	b.micros("rules.settle-after-doubt-us", r.OrderSettleDelay)
	if r.HasRetryBudget {
		b.number("rules.free-resends", r.RetryBudgetFree)
		b.number("rules.further-ratio", r.RetryBudgetRatio)
		b.always("rules.look-back-us", strconv.FormatInt(r.RetryBudgetWindow.Microseconds(), 10))
	}
}

func (b *settingsBuilder) class(at string, c *cresspass.Class) {
	b.text(at+"name", escapeWord(c.Name))
	b.micros(at+"aim-us", c.LatencyObjective)
	b.number(at+"aim-stretch", c.ObjectiveStretch)
	b.micros(at+"deadline-us", c.Deadline)
	b.number(at+"importance", c.PriorityWeight)
	b.number(at+"late-value", c.LateAnswerValue)
	b.micros(at+"window-us", c.DeduplicationWindow)
	b.flag(at+"in-turn", c.OrderedByKey)
	b.words(at+"bound-to", c.AllowedKinds)
	b.words(at+"runs-in", c.AllowedZones)
	b.text(at+"semantics", map[cresspass.Effect]string{
		cresspass.Idempotent: "safe", cresspass.IdempotentWithKey: "keyed", cresspass.NotIdempotent: "unsafe",
	}[c.Effect])
	b.text(at+"key-scope", map[cresspass.DeduplicationScope]string{
		cresspass.ScopeAll: "all", cresspass.ScopeZone: "zone", cresspass.ScopeCell: "cell",
	}[c.DeduplicationScope])
}
