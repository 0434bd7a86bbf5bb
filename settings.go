package cresspass

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Effect says what repeating a query of a class may do.
type Effect int

// The effects a class can have.
const (
	Idempotent        Effect = iota // repeats do no harm
	IdempotentWithKey               // repeats are dropped by a group of engines for a while
	NotIdempotent                   // must never run twice
)

// DeduplicationScope is the group of engines that drops repeats of a keyed query.
type DeduplicationScope int

// The scopes a keyed class can have.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage says what an engine does when grants pass its memory.
type MemoryShortage int

// The behaviours of an engine short of memory.
const (
	ShortageUnknown      MemoryShortage = iota
	ShortageQueues                      // a query waits in the engine's line
	ShortageShrinksGrant                // a query gets what is left
	ShortagePages                       // all queries slow down once memory in use passes what there is
)

// Class describes one class of query.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // answers inside this time earn the full worth
	ObjectiveStretch    float64       // the aim grows by this times work over threads
	Deadline            time.Duration // the client's whole wait
	PriorityWeight      float64
	LateAnswerValue     float64 // part of the worth an answer after the aim still earns
	Effect              Effect
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long repeats of a keyed query are dropped
	OrderedByKey        bool          // queries with one key run one at a time, as taken
	AllowedKinds        []string      // the only kinds of machine allowed; empty: any
	AllowedZones        []string      // the only zones allowed; empty: any
}

// Tenant is a client with a share of the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // queries a second within its share, over all gateways
	Share          float64
}

// Rules holds the figures of the rules. A zero optional figure switches its rule off.
type Rules struct {
	AnswerGrace             time.Duration // slack after the deadline for a final answer
	DrainGrace              time.Duration // sends to a draining engine must cease within this
	SlowStartFrom           float64       // share of its capacity an engine starts with
	SlowStartDuration       time.Duration // time until it is warm
	SlowStartOverloadFactor float64       // sent more than this multiple of its present capacity...
	SlowStartWindow         time.Duration // ...for this long, it falls over
	EngineListPollInterval  time.Duration // where the list must be asked for: how often
	OrderSettleDelay        time.Duration // rest of a key after a doubtful outcome
	HasRetryBudget          bool          // whether further attempts are rationed
	RetryBudgetFree         float64
	RetryBudgetRatio        float64
	RetryBudgetWindow       time.Duration
}

// Config holds what a gateway is told at its start.
type Config struct {
	Seed           uint64
	Ordinal        int
	GatewayCount   int // gateways sending to these engines, this one included
	Zone           string
	BatchInterval  time.Duration
	PollEngineList bool // the engine list must be asked for

	Classes               []Class
	ClassThreads          []float64 // for each class; empty: one
	ClassIsBulkLoad       []bool    // for each class: it holds its table group while it runs
	ClassWaitsForBulkLoad []bool    // for each class: it stands still while a load holds its group
	KindNames             []string
	KindCores             []float64 // for each kind; empty: unknown
	KindMemoryMB          []float64 // for each kind; empty: unknown

	Tenants                 []Tenant
	OverQuotaPriorityWeight float64
	Rules                   Rules

	MaxAttempts          int // 0: no limit told
	MaxSessionsPerEngine int // of this gateway, kept on one engine; 0: no limit told
	MaxRetryAfter        time.Duration
	MayCancel            bool
	MayHedge             bool
	MayCheckHealth       bool
	MayGossip            bool
	MaySendRetryAfter    bool     // refusals may carry a come-back time
	LoadReportFields     []string // names of the values in a load report; concurrent and x0 are used
	AcceptsMemoryGrants  bool
	AcceptsPriority      bool
	MaxGrantShare        float64
	OnMemoryShortage     MemoryShortage
	ProgressInterval     time.Duration // 0: no progress notes
	ReportsCost          bool
}

// valueOr returns value i of a list of settings, or the default where the list was not told.
func valueOr[T any](list []T, i int, fallback T) T {
	if len(list) == 0 {
		return fallback
	}
	return list[i]
}

// Validate returns an error naming the first setting that contradicts itself.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("cresspass: Classes: none given")
	}
	for _, list := range []struct {
		name      string
		got, want int
	}{{"ClassThreads", len(c.ClassThreads), len(c.Classes)}, {"ClassLoads", len(c.ClassIsBulkLoad), len(c.Classes)},
		{"ClassWaits", len(c.ClassWaitsForBulkLoad), len(c.Classes)}, {"KindCores", len(c.KindCores), len(c.KindNames)},
		{"KindMemoryMB", len(c.KindMemoryMB), len(c.KindNames)}} {
		if list.got != 0 && list.got != list.want {
			return fmt.Errorf("cresspass: %s: %d values, want %d", list.name, list.got, list.want)
		}
	}
	names := map[string]bool{}
	for i, k := range c.Classes {
		if k.Deadline <= 0 || k.LatencyObjective < 0 || k.DeduplicationWindow < 0 {
			return fmt.Errorf(
				"cresspass: Classes[%d]: deadline %v, aim %v, window %v",
				i,
				k.Deadline,
				k.LatencyObjective,
				k.DeduplicationWindow,
			)
		}
		if names[k.Name] {
			return fmt.Errorf("cresspass: Classes[%d].Name: %q given twice", i, k.Name)
		}
		names[k.Name] = true
	}
	r := &c.Rules
	values := map[string][]float64{"KindCores": c.KindCores, "ClassThreads": c.ClassThreads,
		"KindMemoryMB": c.KindMemoryMB, "MaxGrantShare": {c.MaxGrantShare}, "OverShareWorth": {c.OverQuotaPriorityWeight},
		"Rules": {r.SlowStartFrom, r.SlowStartOverloadFactor, r.RetryBudgetFree, r.RetryBudgetRatio}}
	for i, k := range c.Classes {
		values[fmt.Sprintf("Classes[%d]", i)] = []float64{
			k.PriorityWeight,
			k.LateAnswerValue,
			k.ObjectiveStretch,
		}
	}
	for i, t := range c.Tenants {
		values[fmt.Sprintf("Tenants[%d]", i)] = []float64{t.QuotaPerSecond, t.Share}
	}
	var invalid []string
	for name, list := range values {
		for i, v := range list {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				invalid = append(invalid, fmt.Sprintf("cresspass: %s: value %d is %v", name, i, v))
			}
		}
	}
	if sort.Strings(invalid); len(invalid) > 0 {
		return fmt.Errorf("%s", invalid[0])
	}
	for i, v := range append(append([]float64{}, c.KindCores...), c.ClassThreads...) {
		if v <= 0 {
			return fmt.Errorf("cresspass: KindCores or ClassThreads: value %d is %v", i, v)
		}
	}
	return nil
}
