package config

import (
	"time"

	"cresspass"
)

// RulesBlock is the block of the parameters of the safety rules.
type RulesBlock struct {
	AnswerGrace             string   `hcl:"answer_grace,optional"`
	DrainGrace              string   `hcl:"drain_grace,optional"`
	SlowStartFrom           float64  `hcl:"cold_from,optional"`
	SlowStartDuration       string   `hcl:"cold_for,optional"`
	SlowStartOverloadFactor float64  `hcl:"cold_multiple,optional"`
	SlowStartWindow         string   `hcl:"cold_window,optional"`
	OrderSettleDelay        string   `hcl:"order_rest,optional"`
	RetryBudgetFree         *float64 `hcl:"budget_free,optional"`
	RetryBudgetRatio        float64  `hcl:"budget_share,optional"`
	RetryBudgetWindow       string   `hcl:"budget_look_back,optional"`
}

// LimitsBlock is the block of the limits on attempts and retries of a query.
type LimitsBlock struct {
	MaxAttempts   int    `hcl:"max_attempts,optional"`
	MaxRetryAfter string `hcl:"max_come_back,optional"`
}

const (
	defaultAnswerGrace       = 250 * time.Millisecond
	defaultDrainGrace        = 2 * time.Second
	defaultOrderSettleDelay  = 500 * time.Millisecond
	defaultRetryBudgetWindow = 10 * time.Second
	defaultMaxAttempts       = 4
	defaultMaxRetryAfter     = time.Second
)

func (v *validator) applyRules(m *cresspass.Config, b *RulesBlock) {
	if b == nil {
		b = &RulesBlock{}
	}
	in := inBlock("rules")
	m.Rules = cresspass.Rules{
		AnswerGrace:             v.duration(in, "answer_grace", b.AnswerGrace, defaultAnswerGrace),
		DrainGrace:              v.duration(in, "drain_grace", b.DrainGrace, defaultDrainGrace),
		SlowStartFrom:           b.SlowStartFrom,
		SlowStartDuration:       v.duration(in, "cold_for", b.SlowStartDuration, 0),
		SlowStartOverloadFactor: b.SlowStartOverloadFactor,
		SlowStartWindow:         v.duration(in, "cold_window", b.SlowStartWindow, 0),
		OrderSettleDelay:        v.duration(in, "order_rest", b.OrderSettleDelay, defaultOrderSettleDelay),
		RetryBudgetRatio:        b.RetryBudgetRatio,
	}
	if b.SlowStartFrom < 0 || b.SlowStartFrom > 1 {
		v.errorf(in, "cold_from", "must be within 0 and 1")
	}
	if b.RetryBudgetFree != nil {
		m.Rules.HasRetryBudget, m.Rules.RetryBudgetFree = true, *b.RetryBudgetFree
		m.Rules.RetryBudgetWindow = v.duration(in, "budget_look_back", b.RetryBudgetWindow,
			defaultRetryBudgetWindow)
	} else if b.RetryBudgetRatio > 0 || b.RetryBudgetWindow != "" {
		v.errorf(in, "budget_share", "has no effect without budget_free")
	}
}

func (v *validator) applyLimits(m *cresspass.Config, b *LimitsBlock) {
	if b == nil {
		b = &LimitsBlock{}
	}
	in := inBlock("limits")
	if b.MaxAttempts < 0 {
		v.errorf(in, "max_attempts", "is negative")
	}
	m.MaxAttempts = orDefault(b.MaxAttempts, defaultMaxAttempts)
	m.MaxRetryAfter = v.duration(in, "max_come_back", b.MaxRetryAfter, defaultMaxRetryAfter)
}
