package baseline

import (
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
)

// Mutations, by the number of the rule whose guard they remove.
const (
	noMutation = iota
	ignoreDeadline
	repeatUnsafe
	useDraining
	ignoreSlowStart
	ignoreOrder
	ignorePlacement
	ignoreRetryBudget
)

// deadlineStretch is the factor on the deadlines that the module of an ignoreDeadline mutant sees.
const deadlineStretch = 3

// loosenedAnswerGrace replaces the configured answer grace, see LoosenRule.
const loosenedAnswerGrace = time.Minute

// Mutant is the module without the guard of one rule.
type Mutant struct {
	*cresspass.Gateway
	mutation int
	events   []cresspass.Event // as the module gets them; reused by Handle
}

// newMutant returns the module without the guard that the mutation removes, or the unchanged module for
// noMutation.
func newMutant(mutation int, cfg cresspass.Config) (dispatch.Decider, error) {
	cfg.Classes = append([]cresspass.Class(nil), cfg.Classes...)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		switch mutation {
		case repeatUnsafe:
			c.Effect = cresspass.Idempotent
		case ignoreOrder:
			c.OrderedByKey = false
		case ignorePlacement:
			c.AllowedKinds, c.AllowedZones = nil, nil
		}
	}
	switch mutation {
	case ignoreSlowStart:
		cfg.Rules.SlowStartOverloadFactor, cfg.Rules.SlowStartDuration = 0, 0
	case ignoreRetryBudget:
		cfg.Rules.HasRetryBudget = false
	}
	g, err := cresspass.New(cfg)
	if err != nil || mutation == noMutation {
		return g, err
	}
	return &Mutant{Gateway: g, mutation: mutation}, nil
}

// Handle passes the events to the module, without the information that the removed guard would act on.
func (m *Mutant) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	m.events = append(m.events[:0], events...)
	for i := range m.events {
		switch ev := &m.events[i]; {
		case m.mutation == ignoreDeadline && ev.Type == cresspass.QueryArrived:
			ev.RemainingDeadline *= deadlineStretch
		case m.mutation == useDraining && ev.Type == cresspass.EngineListReceived:
			ev.Engines = drainingAsActive(ev.Engines)
		}
	}
	return m.Gateway.Handle(now, m.events, actions)
}

// drainingAsActive returns a copy of an engine list in which no engine drains.
func drainingAsActive(engines []cresspass.EngineInfo) []cresspass.EngineInfo {
	engines = append([]cresspass.EngineInfo(nil), engines...)
	for i := range engines {
		if engines[i].State == cresspass.EngineDraining {
			engines[i].State = cresspass.EngineActive
		}
	}
	return engines
}

// LoosenRule removes the dispatcher's own guard of a rule, which would otherwise hide that the module's guard
// is removed. It affects rule 1 only.
func LoosenRule(rule int, cfg *cresspass.Config) {
	if rule == ignoreDeadline {
		// The dispatcher answers a query itself if the module has not answered it within the answer grace.
		cfg.Rules.AnswerGrace = loosenedAnswerGrace
	}
}
