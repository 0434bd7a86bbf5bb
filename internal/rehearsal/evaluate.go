package rehearsal

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/invariant"
	"cresspass/internal/rehearsal/rulecheck"
)

const (
	settleTime    = 200 * time.Millisecond // for messages in transit from dispatchers to engines
	decodeTimeout = 10 * time.Second
)

// evaluate stops dispatchers and relays, checks the rules on the log, and returns the day's result.
func (r *run) evaluate() *Result {
	time.Sleep(settleTime)
	log := r.stopAndCollect()
	out := &Result{
		Day:           r.day,
		Verdicts:      rulecheck.Check(r.day.Parameters(), log),
		LoggedErrors:  r.load.errorCounts,
		Requests:      len(log.Requests),
		Attempts:      len(log.Attempts),
		Seed:          r.options.Seed,
		Log:           log,
		Samples:       r.load.samples,
		EngineSamples: r.engineSamples,
		Start:         r.load.start,
	}
	for _, t := range r.day.Traffic {
		if t.Session {
			t.Class = sessionClass
		}
		out.Classes = append(out.Classes, *r.load.counts[t.Class])
	}
	for _, c := range out.Classes {
		if want := r.day.Expects[c.Class]; c.Share() < want {
			out.Missed = append(out.Missed,
				fmt.Sprintf("%s served %.1f%%, wanted %.1f%%", c.Class, 100*c.Share(), 100*want))
		}
	}
	for _, d := range r.dispatchers {
		lines, err := invariant.ReadViolations(d.log.Name())
		if err != nil {
			lines = append(lines, err.Error())
		}
		out.Violations = append(out.Violations, lines...)
	}
	out.Loads, out.RanTwice = ranTwice(r.testbed.Group.Ran(), r.dedupWindow)
	return out
}

// stopAndCollect stops dispatchers and relays, and returns the complete log.
func (r *run) stopAndCollect() *rulecheck.Log {
	for _, d := range r.dispatchers {
		d.stop()
	}
	var fallen []string
	for i, e := range r.testbed.Engines {
		if _, f := e.Up(); f {
			fallen = append(fallen, e.Entry.Address)
		}
		r.relays[i].Close()
	}
	for _, d := range r.dispatchers {
		d.closeRelays()
	}
	log := r.recorder.Stop(decodeTimeout)
	log.OverloadedEngines = fallen
	log.Notifications = r.notifications()
	for _, d := range r.dispatchers {
		log.Outages = append(log.Outages, d.outages...)
	}
	return log
}

// ranTwice returns the number of loads that ran, and the ids of the loads that ran again less than window
// after their previous run. ran holds the times at which each load ran, by the load's id.
func ranTwice(ran map[string][]time.Time, window time.Duration) (n int, again []string) {
	for id, times := range ran {
		n++
		for i := 1; i < len(times); i++ {
			if times[i].Sub(times[i-1]) < window {
				again = append(again, id)
			}
		}
	}
	sort.Strings(again)
	return n, again
}

// nodePrefix precedes a dispatcher's ordinal in the node id that it sends to discovery.
const nodePrefix = "cresspass-"

// notifications returns the engine lists that the dispatchers acknowledged, in the checker's form.
func (r *run) notifications() (out []rulecheck.Notification) {
	accepted, _ := r.testbed.Discovery.Notifications()
	for _, n := range accepted {
		v := rulecheck.Notification{Sent: n.Sent, At: n.At, Engines: map[string]rulecheck.Endpoint{},
			Dispatcher: "d" + strings.TrimPrefix(n.Node, nodePrefix)}
		for _, e := range n.List {
			if e.State == eds.StateActive {
				v.Engines[e.Address] = rulecheck.Endpoint{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
					Cores:   r.day.Module.KindCores[slices.Index(r.day.Module.KindNames, e.Kind)],
					Started: e.Started}
			}
		}
		out = append(out, v)
	}
	return out
}
