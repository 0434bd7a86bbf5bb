package cresspass

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"time"
)

// Effect classifies what happens when a query of a class runs more than once.
type Effect int

// The effects of a class.
const (
	Idempotent        Effect = iota // repeats are harmless
	IdempotentWithKey               // a group of engines drops repeats of a key for a while
	NotIdempotent                   // must never run twice
)

// DeduplicationScope is the group of engines within which repeats of an idempotency key are dropped.
type DeduplicationScope int

// The deduplication scopes.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage is how an engine behaves when memory grants exceed its memory.
type MemoryShortage int

// The behaviours of an engine that is short of memory.
const (
	ShortageUnknown      MemoryShortage = iota
	ShortageQueues                      // the query waits in the engine's queue
	ShortageShrinksGrant                // the query is granted the memory that is left
	ShortagePages                       // all queries slow down once memory in use exceeds the engine's
)

// Class holds the settings of one query class.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // answers within this time earn the full priority weight
	ObjectiveStretch    float64       // the objective grows by this times the query's work over its threads
	Deadline            time.Duration // how long the client waits in total
	PriorityWeight      float64
	LateAnswerValue     float64 // share of the priority weight that an answer after the objective still earns
	Effect              Effect
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long repeats of an idempotency key are dropped
	OrderedByKey        bool          // queries with the same key run one at a time, in order of arrival
	AllowedKinds        []string      // machine kinds its queries may run on; empty: any
	AllowedZones        []string      // zones its queries may run in; empty: any
}

// Tenant is a client that has a quota of the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // queries per second within its quota, over all gateways
	Share          float64
}

// Rules holds the parameters of the safety rules. An optional parameter that is zero disables its rule.
type Rules struct {
	AnswerGrace             time.Duration // a final answer this long after the deadline is still in time
	DrainGrace              time.Duration // sends to a draining engine must stop within this time
	SlowStartFrom           float64       // share of its full capacity that an engine starts with
	SlowStartDuration       time.Duration // time from its start until it has full capacity
	SlowStartOverloadFactor float64       // an engine sent more than this multiple of its current capacity...
	SlowStartWindow         time.Duration // ...over this time fails
	EngineListPollInterval  time.Duration // longest time between polls, if the engine list must be polled
	OrderSettleDelay        time.Duration // pause of a key after an attempt that may still be running
	HasRetryBudget          bool          // whether a budget limits retries
	RetryBudgetFree         float64       // retries per window that are allowed without any query
	RetryBudgetRatio        float64       // further retries allowed per query of the window
	RetryBudgetWindow       time.Duration
}

// Config holds the settings with which a gateway starts.
type Config struct {
	Seed           uint64
	Ordinal        int
	GatewayCount   int // gateways that send to these engines, including this one
	Zone           string
	BatchInterval  time.Duration // interval at which the caller delivers events
	PollEngineList bool          // the engine list must be polled

	Classes               []Class
	ClassThreads          []float64 // per class; empty: 1 each
	ClassIsBulkLoad       []bool    // per class: its queries lock their table group while they run
	ClassWaitsForBulkLoad []bool    // per class: its queries block while a bulk load locks their table group
	KindNames             []string
	KindCores             []float64 // per kind; empty: unknown
	KindMemoryMB          []float64 // per kind; empty: unknown

	Tenants                 []Tenant
	OverQuotaPriorityWeight float64
	Rules                   Rules

	MaxAttempts          int // 0: no limit
	MaxSessionsPerEngine int // sticky sessions of this gateway on one engine; 0: no limit
	MaxRetryAfter        time.Duration
	MayCancel            bool
	MayHedge             bool
	MayCheckHealth       bool
	MayGossip            bool
	MaySendRetryAfter    bool     // rejections may carry a Retry-After time
	LoadReportFields     []string // names of the values in a load report; only concurrent and x0 are used
	AcceptsMemoryGrants  bool
	AcceptsPriority      bool
	MaxGrantShare        float64 // largest memory grant over the engine's memory
	OnMemoryShortage     MemoryShortage
	ProgressInterval     time.Duration // between progress notes of an attempt; 0: no notes are sent
	ReportsCost          bool          // answers carry the measured cost of their query
}

// valueOr returns element i of a list of settings, or fallback if the list is empty.
func valueOr[T any](list []T, i int, fallback T) T {
	if len(list) == 0 {
		return fallback
	}
	return list[i]
}

// Validate checks the settings for missing, inconsistent or out-of-range values. The error names the first
// invalid setting found.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return errors.New("cresspass: Classes: none given")
	}
	if err := c.validateLengths(); err != nil {
		return err
	}
	if err := c.validateClasses(); err != nil {
		return err
	}
	if err := c.validateNumbers(); err != nil {
		return err
	}
	for i, v := range append(append([]float64{}, c.KindCores...), c.ClassThreads...) {
		if v <= 0 {
			return fmt.Errorf("cresspass: KindCores or ClassThreads: value %d is %v, want above 0", i, v)
		}
	}
	return nil
}

// validateLengths checks that each per-class and per-kind list is empty or has one value for each class or
// kind.
func (c *Config) validateLengths() error {
	for _, list := range []struct {
		name      string
		got, want int
	}{
		{"ClassThreads", len(c.ClassThreads), len(c.Classes)},
		{"ClassIsBulkLoad", len(c.ClassIsBulkLoad), len(c.Classes)},
		{"ClassWaitsForBulkLoad", len(c.ClassWaitsForBulkLoad), len(c.Classes)},
		{"KindCores", len(c.KindCores), len(c.KindNames)},
		{"KindMemoryMB", len(c.KindMemoryMB), len(c.KindNames)},
	} {
		if list.got != 0 && list.got != list.want {
			return fmt.Errorf("cresspass: %s: %d values, want %d", list.name, list.got, list.want)
		}
	}
	return nil
}

// validateClasses checks that the durations of classes are in range and that their names are unique.
func (c *Config) validateClasses() error {
	names := map[string]bool{}
	for i, k := range c.Classes {
		if k.Deadline <= 0 || k.LatencyObjective < 0 || k.DeduplicationWindow < 0 {
			return fmt.Errorf(
				"cresspass: Classes[%d]: deadline %v, latency objective %v, deduplication window %v",
				i, k.Deadline, k.LatencyObjective, k.DeduplicationWindow)
		}
		if names[k.Name] {
			return fmt.Errorf("cresspass: Classes[%d].Name: %q given twice", i, k.Name)
		}
		names[k.Name] = true
	}
	return nil
}

// validateNumbers checks that no number is negative, infinite or NaN.
func (c *Config) validateNumbers() error {
	r := &c.Rules
	values := map[string][]float64{
		"KindCores":               c.KindCores,
		"ClassThreads":            c.ClassThreads,
		"KindMemoryMB":            c.KindMemoryMB,
		"MaxGrantShare":           {c.MaxGrantShare},
		"OverQuotaPriorityWeight": {c.OverQuotaPriorityWeight},
		"Rules": {r.SlowStartFrom, r.SlowStartOverloadFactor,
			r.RetryBudgetFree, r.RetryBudgetRatio},
	}
	for i, k := range c.Classes {
		name := fmt.Sprintf("Classes[%d]", i)
		values[name] = []float64{k.PriorityWeight, k.LateAnswerValue, k.ObjectiveStretch}
	}
	for i, t := range c.Tenants {
		values[fmt.Sprintf("Tenants[%d]", i)] = []float64{t.QuotaPerSecond, t.Share}
	}
	var invalid []string
	for name, list := range values {
		for i, v := range list {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				invalid = append(invalid,
					fmt.Sprintf("cresspass: %s: value %d is %v, want finite and at least 0", name, i, v))
			}
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	sort.Strings(invalid) // map order is random, but the error must be the same each time
	return errors.New(invalid[0])
}
