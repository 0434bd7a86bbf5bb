package cresspass

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"time"
)

// Effect says what running a query of a class more than once does.
type Effect int

// The effects a class can have.
const (
	Idempotent        Effect = iota // repeats do no harm
	IdempotentWithKey               // a group of engines drops repeats of a key for a while
	NotIdempotent                   // must never run twice
)

// DeduplicationScope is the group of engines that drops repeats of a query with an idempotency key.
type DeduplicationScope int

// The scopes of deduplication.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage says what an engine does when grants exceed its memory.
type MemoryShortage int

// The behaviours of an engine short of memory.
const (
	ShortageUnknown      MemoryShortage = iota
	ShortageQueues                      // a query waits in the engine's queue
	ShortageShrinksGrant                // a query gets what is left
	ShortagePages                       // all queries slow down once memory in use exceeds what there is
)

// Class describes one class of query.
type Class struct {
	Name                string
	LatencyObjective    time.Duration // answers inside this time earn the full priority weight
	ObjectiveStretch    float64       // the objective grows by this times work over threads
	Deadline            time.Duration // the client's whole wait
	PriorityWeight      float64
	LateAnswerValue     float64 // share of the priority weight that an answer after the objective still earns
	Effect              Effect
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long repeats of an idempotency key are dropped
	OrderedByKey        bool          // queries with one key run one at a time, in the order of arrival
	AllowedKinds        []string      // the only kinds of machine allowed; empty: any
	AllowedZones        []string      // the only zones allowed; empty: any
}

// Tenant is a client with a quota of the service.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // queries a second within its quota, over all gateways
	Share          float64
}

// Rules holds the figures of the safety rules. A zero optional figure switches its rule off.
type Rules struct {
	AnswerGrace             time.Duration // slack after the deadline for a final answer
	DrainGrace              time.Duration // sends to a draining engine must cease within this
	SlowStartFrom           float64       // share of its capacity an engine starts with
	SlowStartDuration       time.Duration // time until it is warm
	SlowStartOverloadFactor float64       // sent more than this multiple of its present capacity...
	SlowStartWindow         time.Duration // ...for this long, it falls over
	EngineListPollInterval  time.Duration // where the engine list must be polled: how often
	OrderSettleDelay        time.Duration // pause of a key after an outcome that leaves open what ran
	HasRetryBudget          bool          // whether retries are limited to a budget
	RetryBudgetFree         float64       // retries a window that need no queries
	RetryBudgetRatio        float64       // retries a window for each query of the window
	RetryBudgetWindow       time.Duration
}

// Config holds the settings of a gateway at its start.
type Config struct {
	Seed           uint64
	Ordinal        int
	GatewayCount   int // gateways sending to these engines, this one included
	Zone           string
	BatchInterval  time.Duration // pace at which the caller delivers events
	PollEngineList bool          // the engine list must be polled

	Classes               []Class
	ClassThreads          []float64 // for each class; empty: one
	ClassIsBulkLoad       []bool    // for each class: it holds its table group while it runs
	ClassWaitsForBulkLoad []bool    // for each class: it stands still while a bulk load holds its group
	KindNames             []string
	KindCores             []float64 // for each kind; empty: unknown
	KindMemoryMB          []float64 // for each kind; empty: unknown

	Tenants                 []Tenant
	OverQuotaPriorityWeight float64
	Rules                   Rules

	MaxAttempts          int // 0: no limit
	MaxSessionsPerEngine int // sessions of this gateway on one engine; 0: no limit
	MaxRetryAfter        time.Duration
	MayCancel            bool
	MayHedge             bool
	MayCheckHealth       bool
	MayGossip            bool
	MaySendRetryAfter    bool     // rejections may carry a Retry-After time
	LoadReportFields     []string // names of the values in a load report; concurrent and x0 are used
	AcceptsMemoryGrants  bool
	AcceptsPriority      bool
	MaxGrantShare        float64
	OnMemoryShortage     MemoryShortage
	ProgressInterval     time.Duration // 0: no progress notes
	ReportsCost          bool          // answers carry the cost of their query
}

// valueOr returns value i of a list of settings, or the fallback where the list is empty.
func valueOr[T any](list []T, i int, fallback T) T {
	if len(list) == 0 {
		return fallback
	}
	return list[i]
}

// Validate returns an error naming the first setting that contradicts itself.
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
			return fmt.Errorf("cresspass: KindCores or ClassThreads: value %d is %v", i, v)
		}
	}
	return nil
}

// validateLengths checks that lists by class and by kind have one value for each, or none.
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

// validateClasses checks the times and names of classes.
func (c *Config) validateClasses() error {
	names := map[string]bool{}
	for i, k := range c.Classes {
		if k.Deadline <= 0 || k.LatencyObjective < 0 || k.DeduplicationWindow < 0 {
			return fmt.Errorf("cresspass: Classes[%d]: deadline %v, aim %v, window %v",
				i, k.Deadline, k.LatencyObjective, k.DeduplicationWindow)
		}
		if names[k.Name] {
			return fmt.Errorf("cresspass: Classes[%d].Name: %q given twice", i, k.Name)
		}
		names[k.Name] = true
	}
	return nil
}

// validateNumbers checks that no figure is negative, infinite or not a number.
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
				invalid = append(invalid, fmt.Sprintf("cresspass: %s: value %d is %v", name, i, v))
			}
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	sort.Strings(invalid) // the map's order is random; the error is to be the same each time
	return errors.New(invalid[0])
}
