package validation

import (
	"time"

	"cresspass"
)

// knownEngine is the evidence that this dispatcher has about an engine.
type knownEngine struct {
	lastResponse    time.Duration // time of its last response to this dispatcher; 0: never
	reportedThreads float64       // threads that the engine reported to run in total
	reportedAt      time.Duration // time of that report; 0: never
}

// engineGroup holds the engines that share a tag: nearly always a single engine. Messages do not distinguish
// these engines, so their loads are compared with the evidence about all of them together.
type engineGroup struct {
	cores   float64 // of all engines in the group
	engines map[cresspass.EngineID]*knownEngine
}

func newEngineGroup() *engineGroup {
	return &engineGroup{engines: map[cresspass.EngineID]*knownEngine{}}
}

// add adds an engine, and takes over the evidence about it from a former group, which may be nil.
func (g *engineGroup) add(id cresspass.EngineID, cores float64, former *engineGroup) {
	g.cores += cores
	g.engines[id] = &knownEngine{}
	if former == nil {
		return
	}
	if e := former.engines[id]; e != nil {
		g.engines[id] = e
	}
}

// recordResponse records an engine's response, see Validator.RecordResponse.
func (g *engineGroup) recordResponse(now time.Duration, id cresspass.EngineID, threads float64) {
	e := g.engines[id]
	if e == nil {
		return
	}
	e.lastResponse = now
	if threads >= 0 {
		e.reportedThreads, e.reportedAt = threads, now
	}
}

// lastResponse returns the earliest of the engines' last responses; 0: an engine has never responded.
func (g *engineGroup) lastResponse() time.Duration {
	first := true
	var earliest time.Duration
	for _, e := range g.engines {
		if first || e.lastResponse < earliest {
			first, earliest = false, e.lastResponse
		}
	}
	return earliest
}

// reported returns the threads that all engines reported together, and the time of the oldest report; 0: an
// engine has never reported.
func (g *engineGroup) reported() (threads float64, at time.Duration) {
	first := true
	for _, e := range g.engines {
		threads += e.reportedThreads
		if first || e.reportedAt < at {
			first, at = false, e.reportedAt
		}
	}
	return threads, at
}
