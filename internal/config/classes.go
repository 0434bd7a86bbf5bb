package config

import (
	"slices"

	"cresspass"
)

// ClassBlock is the block of one class of queries.
type ClassBlock struct {
	Name                string   `hcl:"name,label"`
	LatencyObjective    string   `hcl:"aim"`
	ObjectiveStretch    float64  `hcl:"aim_stretch,optional"`
	Deadline            string   `hcl:"deadline"`
	PriorityWeight      float64  `hcl:"worth,optional"`
	LateAnswerValue     float64  `hcl:"late_value,optional"`
	Effect              string   `hcl:"effect"`
	DeduplicationScope  string   `hcl:"scope,optional"`
	DeduplicationWindow string   `hcl:"window,optional"`
	OrderedByKey        bool     `hcl:"in_order,optional"`
	AllowedKinds        []string `hcl:"on_kinds,optional"`
	AllowedZones        []string `hcl:"in_zones,optional"`
	Threads             float64  `hcl:"threads,optional"`
	IsBulkLoad          bool     `hcl:"loads,optional"`
	WaitsForBulkLoad    bool     `hcl:"waits,optional"`
}

// KindBlock is the block of one kind of engine machine.
type KindBlock struct {
	Name     string  `hcl:"name,label"`
	Cores    float64 `hcl:"cores"`
	MemoryMB float64 `hcl:"memory_mb,optional"`
}

// TenantBlock is the block of one tenant: a client with a quota and a share of the service.
type TenantBlock struct {
	Name           string  `hcl:"name,label"`
	QuotaPerSecond float64 `hcl:"quota"`
	Share          float64 `hcl:"share,optional"`
}

const (
	defaultPriorityWeight = 1
	defaultThreads        = 1
)

var (
	effects = map[string]cresspass.Effect{
		"safe":   cresspass.Idempotent,
		"keyed":  cresspass.IdempotentWithKey,
		"unsafe": cresspass.NotIdempotent,
	}
	scopes = map[string]cresspass.DeduplicationScope{
		"":     cresspass.ScopeAll,
		"all":  cresspass.ScopeAll,
		"zone": cresspass.ScopeZone,
		"cell": cresspass.ScopeCell,
	}
)

func (v *validator) applyKinds(m *cresspass.Config, blocks []KindBlock) {
	for i, b := range blocks {
		in := scope{"kind", i}
		if slices.Contains(m.KindNames, b.Name) {
			v.errorf(in, "kind", "%q given twice", b.Name)
		}
		if b.Cores <= 0 {
			v.errorf(in, "cores", "must be above 0")
		}
		if b.MemoryMB < 0 {
			v.errorf(in, "memory_mb", "is negative")
		}
		m.KindNames = append(m.KindNames, b.Name)
		m.KindCores = append(m.KindCores, b.Cores)
		m.KindMemoryMB = append(m.KindMemoryMB, b.MemoryMB)
	}
}

// applyClasses checks the classes. It must run after applyKinds.
func (v *validator) applyClasses(m *cresspass.Config, blocks []ClassBlock) {
	for i := range blocks {
		b, in := &blocks[i], scope{"class", i}
		for j := range blocks[:i] {
			if blocks[j].Name == b.Name {
				v.errorf(in, "class", "%q given twice", b.Name)
			}
		}
		m.Classes = append(m.Classes, v.class(in, b, m.KindNames))
		m.ClassThreads = append(m.ClassThreads, orDefault(b.Threads, defaultThreads))
		m.ClassIsBulkLoad = append(m.ClassIsBulkLoad, b.IsBulkLoad)
		m.ClassWaitsForBulkLoad = append(m.ClassWaitsForBulkLoad, b.WaitsForBulkLoad)
	}
}

func (v *validator) class(in scope, b *ClassBlock, kinds []string) cresspass.Class {
	class := cresspass.Class{
		Name:                b.Name,
		LatencyObjective:    v.duration(in, "aim", b.LatencyObjective, 0),
		ObjectiveStretch:    b.ObjectiveStretch,
		Deadline:            v.duration(in, "deadline", b.Deadline, 0),
		PriorityWeight:      orDefault(b.PriorityWeight, defaultPriorityWeight),
		LateAnswerValue:     b.LateAnswerValue,
		DeduplicationWindow: v.duration(in, "window", b.DeduplicationWindow, 0),
		OrderedByKey:        b.OrderedByKey,
		AllowedKinds:        b.AllowedKinds,
		AllowedZones:        b.AllowedZones,
	}
	class.Effect = oneOf(v, in, "effect", b.Effect, effects)
	class.DeduplicationScope = oneOf(v, in, "scope", b.DeduplicationScope, scopes)
	if class.Deadline <= 0 {
		v.errorf(in, "deadline", "must be above 0")
	}
	if class.Effect == cresspass.IdempotentWithKey && class.DeduplicationWindow <= 0 {
		v.errorf(in, "window", "a keyed class needs the time for which engines drop repeated queries")
	}
	if b.Threads < 0 || b.PriorityWeight < 0 || b.LateAnswerValue < 0 || b.ObjectiveStretch < 0 {
		v.errorf(in, "threads", "a figure is negative")
	}
	for _, name := range b.AllowedKinds {
		if !slices.Contains(kinds, name) {
			v.errorf(in, "on_kinds", "there is no kind %q", name)
		}
	}
	return class
}

func (v *validator) applyTenants(m *cresspass.Config, blocks []TenantBlock) {
	for i, b := range blocks {
		if b.QuotaPerSecond < 0 || b.Share < 0 {
			v.errorf(scope{"tenant", i}, "quota", "is negative")
		}
		m.Tenants = append(m.Tenants, cresspass.Tenant{Name: b.Name, QuotaPerSecond: b.QuotaPerSecond,
			Share: b.Share})
	}
}
