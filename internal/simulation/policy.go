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

// Policies are the deciders that a fleet can have: "" is the module. The others are to compare with, here
// and in the rehearsal; "oracle" sees every engine as it is, and what each query will take, which nobody
// can.
var Policies = []string{"", "round-robin", "least-connections", "two-choices", "oracle"}

func newDecider(f *Fleet, told *cresspass.Config, now time.Duration) (dispatch.Decider, error) {
	if f.cfg.Decide != nil {
		return f.cfg.Decide(told, now)
	}
	cfg := *told
	switch f.cfg.Policy {
	case "two-choices", "oracle":
		return &choiceDecider{fleet: f, cfg: cfg, oracle: f.cfg.Policy == "oracle",
			random:  rand.New(rand.NewPCG(cfg.Seed, 3)),
			queries: map[cresspass.QueryID]*pendingQuery{}, running: map[cresspass.EngineID]int{}}, nil
	}
	d, err := baseline.New(f.cfg.Policy, 0, cfg)
	if err != nil {
		return nil, fmt.Errorf("model: %w", err)
	}
	return d, nil
}

// choiceDecider sends each query on at once: to the emptier of two engines drawn by chance, by its own
// count, or, as an oracle, to the one where it would end first, or refuses it where it would end too late
// anywhere.
type choiceDecider struct {
	fleet   *Fleet
	cfg     cresspass.Config
	oracle  bool
	random  *rand.Rand
	now     time.Duration
	engines []cresspass.EngineInfo
	queries map[cresspass.QueryID]*pendingQuery
	running map[cresspass.EngineID]int
	actions []cresspass.Action
}

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
	q := c.queries[ev.Query]
	switch ev.Type {
	case cresspass.EngineListReceived:
		c.engines = c.engines[:0]
		for _, e := range ev.Engines {
			if e.State == cresspass.EngineActive {
				c.engines = append(c.engines, e)
			}
		}
	case cresspass.QueryArrived:
		q = &pendingQuery{class: c.fleet.class(ev.Class), deadline: c.now + ev.RemainingDeadline}
		c.queries[ev.Query] = q
		c.actions = append(c.actions, cresspass.Action{Type: cresspass.SetTimer, Label: uint64(ev.Query),
			Wait: max(ev.RemainingDeadline-20*time.Millisecond, 1)})
		c.send(ev.Query, q)
	case cresspass.TimerFired:
		if q = c.queries[cresspass.QueryID(ev.Label)]; q != nil {
			c.reject(cresspass.QueryID(ev.Label), q)
		}
	case cresspass.QueryAbandoned:
		delete(c.queries, ev.Query)
	case cresspass.AttemptDone:
		c.running[ev.Engine]--
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
}

func (c *choiceDecider) reject(id cresspass.QueryID, q *pendingQuery) {
	delete(c.queries, id)
	c.actions = append(c.actions, cresspass.Action{Type: cresspass.Reject, Query: id, Wait: c.cfg.MaxRetryAfter},
		cresspass.Action{Type: cresspass.Cancel, Query: id, Attempt: q.attempts - 1})
}

func (c *choiceDecider) send(id cresspass.QueryID, q *pendingQuery) {
	var best *cresspass.EngineInfo
	if c.oracle {
		best = c.fastestEngine(id, q)
	} else {
		for range 2 {
			if len(c.engines) == 0 {
				break
			}
			e := &c.engines[c.random.IntN(len(c.engines))]
			if best == nil || c.running[e.ID] < c.running[best.ID] {
				best = e
			}
		}
	}
	if best == nil {
		c.reject(id, q)
		return
	}
	q.attempts++
	c.running[best.ID]++
	c.actions = append(c.actions, cresspass.Action{Type: cresspass.Send, Query: id, Engine: best.ID})
}

// fastestEngine is the engine where a query would end first, all that runs there shared evenly with it; nil:
// nowhere in time.
func (c *choiceDecider) fastestEngine(id cresspass.QueryID, q *pendingQuery) (best *cresspass.EngineInfo) {
	var a *request
	for _, d := range c.fleet.dispatchers {
		if a = d.requests[id]; a != nil {
			break
		}
	}
	if a == nil {
		return nil
	}
	threads := c.fleet.cfg.Traffic[a.traffic].Threads
	least := math.Inf(1)
	for i := range c.engines {
		e := c.fleet.byID[c.engines[i].ID]
		if !e.up {
			continue
		}
		crowd := math.Max(1, (e.model.Threads()+threads)/(e.Machine.Cores*e.model.RampFraction()))
		if took := a.work / threads * crowd; took < least {
			best, least = &c.engines[i], took
		}
	}
	left := math.Min((q.deadline - c.now).Seconds(),
		(q.class.LatencyObjective - (c.fleet.queue.Now() - a.firstArrival)).Seconds())
	if least > left {
		return nil
	}
	return best
}
