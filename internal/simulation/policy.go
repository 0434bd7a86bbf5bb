package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation/baseline"
)

// Names of the policies that exist only in the simulation.
const (
	twoChoices = "two-choices"
	oracle     = "oracle"
)

// Policies are the valid values of Config.Policy: "" is the module, the others are baselines for comparison.
// The oracle reads the true state of every engine and the true work of each query, which no real decider can.
var Policies = []string{"", "round-robin", "least-connections", twoChoices, oracle}

// answerMargin is how long before a query's deadline a choiceDecider rejects it.
const answerMargin = 20 * time.Millisecond

// newDecider creates the decider of a dispatcher that starts.
func newDecider(f *Fleet, module *cresspass.Config, now time.Duration) (dispatch.Decider, error) {
	if f.cfg.Decide != nil {
		return f.cfg.Decide(module, now)
	}
	cfg := *module
	switch f.cfg.Policy {
	case twoChoices, oracle:
		return &choiceDecider{fleet: f, cfg: cfg, oracle: f.cfg.Policy == oracle,
			random:  rand.New(rand.NewPCG(cfg.Seed, policyStream)),
			queries: map[cresspass.QueryID]*pendingQuery{}, running: map[cresspass.EngineID]int{}}, nil
	}
	d, err := baseline.New(f.cfg.Policy, 0, cfg)
	if err != nil {
		return nil, fmt.Errorf("model: %w", err)
	}
	return d, nil
}

// choiceDecider sends each query immediately. Of two engines drawn at random it chooses the one that runs
// fewer of its queries. As an oracle, it chooses the engine on which the query would end first, and rejects a
// query that would end too late on every engine.
type choiceDecider struct {
	fleet   *Fleet
	cfg     cresspass.Config
	oracle  bool
	random  *rand.Rand
	now     time.Duration
	engines []cresspass.EngineInfo // the active ones
	queries map[cresspass.QueryID]*pendingQuery
	running map[cresspass.EngineID]int
	actions []cresspass.Action
}

// pendingQuery is a query without an answer.
type pendingQuery struct {
	class    *cresspass.Class
	deadline time.Duration
	attempts int
}

func (c *choiceDecider) Snapshot() []byte                    { return nil }
func (c *choiceDecider) Restore([]byte, time.Duration) error { return nil }

func (c *choiceDecider) Handle(now time.Duration, events []cresspass.Event,
	actions []cresspass.Action) []cresspass.Action {
	c.now, c.actions = now, actions
	for i := range events {
		c.handleEvent(&events[i])
	}
	return c.actions
}

func (c *choiceDecider) handleEvent(ev *cresspass.Event) {
	switch ev.Type {
	case cresspass.EngineListReceived:
		c.engines = c.engines[:0]
		for _, e := range ev.Engines {
			if e.State == cresspass.EngineActive {
				c.engines = append(c.engines, e)
			}
		}
	case cresspass.QueryArrived:
		q := &pendingQuery{class: c.fleet.cfg.class(ev.Class), deadline: c.now + ev.RemainingDeadline}
		c.queries[ev.Query] = q
		c.actions = append(c.actions, cresspass.Action{Type: cresspass.SetTimer, Label: uint64(ev.Query),
			Wait: max(ev.RemainingDeadline-answerMargin, 1)})
		c.send(ev.Query, q)
	case cresspass.TimerFired:
		if q := c.queries[cresspass.QueryID(ev.Label)]; q != nil {
			c.reject(cresspass.QueryID(ev.Label), q)
		}
	case cresspass.QueryAbandoned:
		delete(c.queries, ev.Query)
	case cresspass.AttemptDone:
		c.handleAttemptDone(ev)
	}
}

func (c *choiceDecider) handleAttemptDone(ev *cresspass.Event) {
	c.running[ev.Engine]--
	q := c.queries[ev.Query]
	switch {
	case q == nil:
	case ev.QueryFinished:
		delete(c.queries, ev.Query)
	case q.attempts < max(c.cfg.MaxAttempts, 1) && q.class.Effect == cresspass.Idempotent &&
		c.now < q.deadline:
		c.send(ev.Query, q)
	default:
		c.reject(ev.Query, q)
	}
}

func (c *choiceDecider) reject(id cresspass.QueryID, q *pendingQuery) {
	delete(c.queries, id)
	c.actions = append(c.actions,
		cresspass.Action{Type: cresspass.Reject, Query: id, Wait: c.cfg.MaxRetryAfter},
		cresspass.Action{Type: cresspass.Cancel, Query: id, Attempt: q.attempts - 1})
}

func (c *choiceDecider) send(id cresspass.QueryID, q *pendingQuery) {
	var best *cresspass.EngineInfo
	if c.oracle {
		best = c.fastestEngine(id, q)
	} else {
		best = c.lessLoadedEngine()
	}
	if best == nil {
		c.reject(id, q)
		return
	}
	q.attempts++
	c.running[best.ID]++
	c.actions = append(c.actions, cresspass.Action{Type: cresspass.Send, Query: id, Engine: best.ID})
}

// lessLoadedEngine draws two active engines and returns the one with fewer running queries; nil if no engine
// is active.
func (c *choiceDecider) lessLoadedEngine() (best *cresspass.EngineInfo) {
	if len(c.engines) == 0 {
		return nil
	}
	for range 2 {
		e := &c.engines[c.random.IntN(len(c.engines))]
		if best == nil || c.running[e.ID] < c.running[best.ID] {
			best = e
		}
	}
	return best
}

// fastestEngine returns the engine on which a query would end first, assuming that it shares the cores evenly
// with the jobs that run there; nil if it would be late on every engine.
func (c *choiceDecider) fastestEngine(id cresspass.QueryID, q *pendingQuery) (best *cresspass.EngineInfo) {
	req := c.findRequest(id)
	if req == nil {
		return nil
	}
	threads := c.fleet.cfg.Traffic[req.traffic].Threads
	least := math.Inf(1) // seconds
	for i := range c.engines {
		e := c.fleet.byID[c.engines[i].ID]
		if !e.up {
			continue
		}
		contention := math.Max(1, (e.model.Threads()+threads)/(e.Machine.Cores*e.model.RampFraction()))
		if duration := req.work / threads * contention; duration < least {
			best, least = &c.engines[i], duration
		}
	}
	left := math.Min((q.deadline - c.now).Seconds(),
		(q.class.LatencyObjective - (c.fleet.queue.Now() - req.firstArrival)).Seconds())
	if least > left {
		return nil
	}
	return best
}

// findRequest returns a client's query from the dispatcher that holds it; nil if none does.
func (c *choiceDecider) findRequest(id cresspass.QueryID) *request {
	for _, d := range c.fleet.dispatchers {
		if req := d.requests[id]; req != nil {
			return req
		}
	}
	return nil
}
