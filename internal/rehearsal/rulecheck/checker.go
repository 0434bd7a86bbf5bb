// Package rulecheck judges the seven rules from the bytes on the sockets. Relays stand on both sides of the
// dispatchers and decode what passes with pgproto3, a reading of the protocol that the dispatcher does not
// use. The judge knows the rules' figures and what the roster told whom; of the dispatchers' own books it
// knows nothing.
//
// Statements name themselves: the tag id is one of its own for each try of each query, and class, key and
// work_ms say what it is.
package rulecheck

import (
	"fmt"
	"sort"
	"strconv"
	"time"
)

// Request is a query as a client put it.
type Request struct {
	ID, Class, Key string
	Dispatcher     string
	At             time.Time
	Tags           map[string]string

	Finals     int // final answers: must become one
	Final      time.Time
	Code       string // SQLSTATE of the final answer; "": served
	Rows       int
	After      int       // messages after its final answer, or a ReadyForQuery without one
	Skipped    bool      // behind an error, up to Sync
	Gone       time.Time // the connection ended before an answer
	ServerGone bool      // and it was the dispatcher that ended it
}

// Attempt is an attempt as an engine got it.
type Attempt struct {
	ID, Class, Key     string
	Engine, Dispatcher string
	PID                uint32
	At                 time.Time
	Work               float64 // thread seconds, by its tag
	End                time.Time
	Code               string // SQLSTATE of its end
	Done, Lost         bool   // it was answered; its connection ended first
	Skipped            bool   // behind an error: it never ran
	Session            string // by its tag: statements of one session share it
	Cancel             time.Time
}

// neverRan reports whether its end proves that it did not run.
func (s *Attempt) neverRan() bool { return s.Skipped || s.Code == "53300" || s.Code == "57P03" }

// Notification is a list that a dispatcher was told, with the engines on it. Between Sent and At, when it was
// acknowledged, the dispatcher may or may not have known of it: it may act on good news from Sent, and must
// heed bad news from At.
type Notification struct {
	Sent       time.Time // zero: as At
	At         time.Time
	Dispatcher string
	Engines    map[string]Endpoint // those that may be sent to; all others are drained or gone
}

// Endpoint is where and what an engine is.
type Endpoint struct {
	Zone, Kind string
	Cell       int
	Cores      float64
	Started    time.Time // zero: long ago
}

// Outage is when a dispatcher was killed and when it was back.
type Outage struct {
	Dispatcher string
	At, Back   time.Time
}

// Log is all that was seen.
type Log struct {
	Requests      []*Request     `json:"Asks"`
	Attempts      []*Attempt     `json:"Sends"`
	Notifications []Notification `json:"Told"`
	Outages       []Outage       `json:"Killed"`
	Fallen        []string       // engines that were pushed over
	Stray         int            // answers that belong to no request
	// Unjudged says why the log cannot be judged.
	Unjudged []string
}

// Class holds a class's figures.
type Class struct {
	Effect   string // safe, keyed or unsafe
	Scope    string // all, zone or cell
	Window   time.Duration
	Deadline time.Duration
	InOrder  bool
	Kinds    []string
	Zones    []string
}

// Parameters are those of the rules.
type Parameters struct {
	Classes        map[string]Class
	AnswerGrace    time.Duration
	DrainGrace     time.Duration
	ColdFrom       float64
	ColdFor        time.Duration
	ColdMultiple   float64
	ColdWindow     time.Duration
	OrderRest      time.Duration
	HasBudget      bool
	BudgetFree     float64
	BudgetShare    float64
	BudgetLookBack time.Duration
	// Skew is how much two relays' times of one moment may differ: they are goroutines of a busy machine.
	Skew time.Duration
}

// Verdict is what is found of one rule.
type Verdict struct {
	Rule     int
	Name     string
	Kept     bool
	Judged   bool
	Checked  int // how many things were looked at
	Broken   int
	Evidence []string // of the first few
	Note     string
}

// String is the verdict on one line.
func (v Verdict) String() string {
	word := "kept"
	switch {
	case !v.Judged:
		word = "CANNOT BE JUDGED"
	case !v.Kept:
		word = fmt.Sprintf("BROKEN %d times", v.Broken)
	}
	s := fmt.Sprintf("rule %d %-12s %s (%d checked)", v.Rule, v.Name, word, v.Checked)
	if v.Note != "" {
		s += "; " + v.Note
	}
	for _, e := range v.Evidence {
		s += "\n    " + e
	}
	return s
}

const maxEvidence = 5

func (v *Verdict) addViolation(format string, args ...any) {
	v.Kept = false
	if v.Broken++; len(v.Evidence) < maxEvidence {
		v.Evidence = append(v.Evidence, fmt.Sprintf(format, args...))
	}
}

// AllKept reports whether all verdicts say that their rule was kept.
func AllKept(all []Verdict) bool {
	for _, v := range all {
		if !v.Judged || !v.Kept {
			return false
		}
	}
	return true
}

type checker struct {
	parameters Parameters
	log        *Log
	requests   map[string]*Request
	attempts   map[string][]*Attempt // of an ask, in the order of their sending
}

// Judge returns a verdict on each of the seven rules, and as an eighth on sessions that are kept on engines.
func Judge(f Parameters, log *Log) []Verdict {
	j := &checker{parameters: f, log: log, requests: map[string]*Request{}, attempts: map[string][]*Attempt{}}
	sort.SliceStable(
		log.Attempts,
		func(a, b int) bool { return log.Attempts[a].At.Before(log.Attempts[b].At) },
	)
	sort.SliceStable(
		log.Requests,
		func(a, b int) bool { return log.Requests[a].At.Before(log.Requests[b].At) },
	)
	sort.SliceStable(
		log.Notifications,
		func(a, b int) bool { return log.Notifications[a].At.Before(log.Notifications[b].At) },
	)
	for _, a := range log.Requests {
		j.requests[a.ID] = a
	}
	for _, s := range log.Attempts {
		j.attempts[s.ID] = append(j.attempts[s.ID], s)
	}
	names := []string{"answers", "effects", "drains", "cold starts", "order", "placement", "budget",
		"sessions"}
	rules := []func(*Verdict){
		j.checkAnswers,
		j.checkEffects,
		j.checkDrains,
		j.checkSlowStart,
		j.checkOrder,
		j.checkPlacement,
		j.checkRetryBudget,
		j.checkSessions,
	}
	var out []Verdict
	for i, rule := range rules {
		v := Verdict{Rule: i + 1, Name: names[i], Kept: true, Judged: len(log.Unjudged) == 0}
		rule(&v)
		if !v.Judged {
			v.Evidence = append(v.Evidence, log.Unjudged...)
		}
		out = append(out, v)
	}
	return out
}

func number(s string) float64 {
	v, _ := strconv.ParseFloat(s, 64)
	return v
}

// timeOfDay shows a time by its second within the log.
func (j *checker) timeOfDay(t time.Time) string {
	if len(j.log.Requests) == 0 {
		return t.Format("15:04:05.000")
	}
	return fmt.Sprintf("%.3fs", t.Sub(j.log.Requests[0].At).Seconds())
}

func (j *checker) dispatcherKilled(a *Request) bool {
	for _, k := range j.log.Outages {
		if k.Dispatcher == a.Dispatcher && !a.Gone.IsZero() && a.Gone.After(k.At.Add(-j.parameters.Skew)) &&
			(k.Back.IsZero() || a.Gone.Before(k.Back.Add(j.parameters.Skew))) {
			return true
		}
	}
	return false
}

// deadline is when the client gives up.
func (j *checker) deadline(a *Request) time.Time {
	d := j.parameters.Classes[a.Class].Deadline
	if ms := number(a.Tags["wait_ms"]); ms > 0 { // the client's own wait, as the statement's comment tells
		d = min(d, time.Duration(ms*float64(time.Millisecond)))
	}
	return a.At.Add(d)
}

// checkAnswers is rule 1: exactly one final answer in the client's time, and nothing sent for the query
// after it.
func (j *checker) checkAnswers(v *Verdict) {
	if j.log.Stray > 0 {
		v.addViolation("%d answers belong to no request", j.log.Stray)
	}
	for _, a := range j.log.Requests {
		v.Checked++
		end := a.Final
		switch {
		case a.Skipped:
			if len(j.attempts[a.ID]) > 0 {
				v.addViolation("%s %s was to be skipped behind an error, and went to %s", a.Class, a.ID,
					j.attempts[a.ID][0].Engine)
			}
			continue
		case a.Finals > 1 || a.After > 0:
			v.addViolation(
				"%s %s: %d final answers, %d messages out of place",
				a.Class,
				a.ID,
				a.Finals,
				a.After,
			)
		case a.Finals == 0 && a.Gone.IsZero():
			v.addViolation("%s %s at %s got no answer", a.Class, a.ID, j.timeOfDay(a.At))
			continue
		case a.Finals == 0 && a.ServerGone && !j.dispatcherKilled(a):
			v.addViolation(
				"%s %s: dispatcher %s closed its connection at %s without an answer",
				a.Class,
				a.ID,
				a.Dispatcher,
				j.timeOfDay(a.Gone),
			)
			continue
		case a.Finals == 0:
			end = a.Gone // its client went, or its dispatcher was killed
		case a.Final.After(j.deadline(a).Add(j.parameters.AnswerGrace + j.parameters.Skew)):
			v.addViolation(
				"%s %s: answered %v after its client's time",
				a.Class,
				a.ID,
				a.Final.Sub(j.deadline(a)),
			)
		}
		for _, s := range j.attempts[a.ID] {
			if s.At.After(end.Add(j.parameters.Skew)) {
				v.addViolation("%s %s: sent to %s %v after its end", a.Class, a.ID, s.Engine, s.At.Sub(end))
			}
		}
	}
	for id, list := range j.attempts {
		if j.requests[id] == nil {
			v.addViolation("%s: sent to %s, but asked by no client", id, list[0].Engine)
		}
	}
}

// mayHaveRun returns the first attempt before a time that may have run, and whether any before it lacks an
// outcome.
func (j *checker) mayHaveRun(list []*Attempt) *Attempt {
	for _, s := range list {
		if !s.neverRan() {
			return s
		}
	}
	return nil
}

// checkEffects is rule 2.
func (j *checker) checkEffects(v *Verdict) {
	places := map[string]Endpoint{}
	for _, t := range j.log.Notifications {
		for id, p := range t.Engines {
			places[id] = p
		}
	}
	for _, a := range j.log.Requests {
		c := j.parameters.Classes[a.Class]
		if c.Effect == "safe" {
			continue
		}
		v.Checked++
		list := j.attempts[a.ID]
		for i, s := range list {
			first := j.mayHaveRun(list[:i])
			switch {
			case first == nil:
			case c.Effect == "unsafe":
				v.addViolation("%s %s: sent again to %s though an attempt at %s may have run", a.Class, a.ID,
					s.Engine,
					first.Engine)
			case s.At.Sub(first.At) > c.Window+j.parameters.Skew:
				v.addViolation(
					"%s %s: sent again %v after the first, window %v",
					a.Class,
					a.ID,
					s.At.Sub(first.At),
					c.Window,
				)
			case c.Scope == "zone" && places[s.Engine].Zone != places[first.Engine].Zone,
				c.Scope == "cell" && (places[s.Engine].Cell != places[first.Engine].Cell ||
					places[s.Engine].Zone != places[first.Engine].Zone):
				v.addViolation(
					"%s %s: sent again to %s, outside the %s of %s",
					a.Class,
					a.ID,
					s.Engine,
					c.Scope,
					first.Engine,
				)
			}
		}
		if a.Code == "53000" && j.mayHaveRun(list) != nil && !(c.Effect == "keyed" && (c.Scope == "all" ||
			c.Scope == "")) {
			v.addViolation("%s %s: refused though an attempt may have run", a.Class, a.ID)
		}
	}
}

// checkDrains is rule 3.
func (j *checker) checkDrains(v *Verdict) {
	told := map[string][]Notification{}
	for _, t := range j.log.Notifications {
		told[t.Dispatcher] = append(told[t.Dispatcher], t)
	}
	for _, s := range j.log.Attempts {
		v.Checked++
		list := told[s.Dispatcher]
		// Told off since: the time from which every list up to the send had it off, after one that had it on.
		var since time.Time
		known := false
		for _, t := range list {
			sent := t.Sent
			if sent.IsZero() {
				sent = t.At
			}
			if _, on := t.Engines[s.Engine]; on && !sent.After(s.At) {
				known, since = true, time.Time{}
			} else if !on && since.IsZero() && !t.At.After(s.At) {
				since = t.At
			}
		}
		switch {
		case len(list) == 0:
		case !since.IsZero() && s.At.Sub(since) > j.parameters.DrainGrace+j.parameters.Skew:
			v.addViolation(
				"%s %s: sent to %s by %s %v after that was told to drain or be gone",
				s.Class,
				s.ID,
				s.Engine,
				s.Dispatcher,
				s.At.Sub(since),
			)
		case !known && since.IsZero():
			// its list was told before the first that we saw
		}
	}
}

// checkSlowStart is rule 4: what all dispatchers together sent an engine in a window, against what it can do.
func (j *checker) checkSlowStart(v *Verdict) {
	for _, e := range j.log.Fallen {
		v.addViolation("engine %s was pushed over", e)
	}
	if j.parameters.ColdMultiple <= 0 || j.parameters.ColdFor <= 0 {
		return
	}
	starts := map[string]map[time.Time]Endpoint{}
	for _, t := range j.log.Notifications {
		for id, p := range t.Engines {
			if !p.Started.IsZero() {
				if starts[id] == nil {
					starts[id] = map[time.Time]Endpoint{}
				}
				starts[id][p.Started] = p
			}
		}
	}
	worst := 0.0
	for id, all := range starts {
		for started, p := range all {
			v.Checked++
			var window []*Attempt
			for _, s := range j.log.Attempts {
				age := s.At.Sub(started)
				if s.Engine != id || age < 0 || age > j.parameters.ColdFor {
					continue
				}
				window = append(window, s)
				for s.At.Sub(window[0].At) > j.parameters.ColdWindow {
					window = window[1:]
				}
				sum := 0.0
				for _, w := range window {
					sum += w.Work
				}
				warmth := j.parameters.ColdFrom +
					(1-j.parameters.ColdFrom)*age.Seconds()/j.parameters.ColdFor.Seconds()
				budget := j.parameters.ColdMultiple * p.Cores * warmth * j.parameters.ColdWindow.Seconds()
				share := sum / budget
				if worst = max(worst, share); share > 1 {
					v.addViolation(
						"engine %s, %v after its start: %.1f thread s in %v, %.0f%% of its limit",
						id,
						age.Round(time.Millisecond),
						sum,
						j.parameters.ColdWindow,
						share*100,
					)
				}
			}
		}
	}
	v.Note = fmt.Sprintf("at most %.0f%% of the limit", worst*100)
}

// checkOrder is rule 5.
func (j *checker) checkOrder(v *Verdict) {
	type line struct{ dispatcher, key string }
	lines := map[line][]*Request{}
	for _, a := range j.log.Requests {
		if c := j.parameters.Classes[a.Class]; c.InOrder && a.Key != "" && !a.Skipped {
			lines[line{a.Dispatcher, a.Key}] = append(lines[line{a.Dispatcher, a.Key}], a)
		}
	}
	for l, asks := range lines {
		for n, later := range asks {
			for _, s := range j.attempts[later.ID] {
				v.Checked++
				for _, earlier := range asks[:n] {
					if later.At.Sub(earlier.At) < j.parameters.Skew ||
						j.killedBetween(l.dispatcher, earlier.At,
							s.At) {
						// who came first cannot be told; or the dispatcher forgot the line with its life
						continue
					}
					j.checkPrecedence(v, earlier, later, s)
				}
			}
		}
	}
}

func (j *checker) killedBetween(dispatcher string, from, to time.Time) bool {
	for _, k := range j.log.Outages {
		if k.Dispatcher == dispatcher && k.At.After(from) && k.At.Before(to) {
			return true
		}
	}
	return false
}

// checkPrecedence looks at a send of a later query against an earlier one with its key.
func (j *checker) checkPrecedence(v *Verdict, earlier, later *Request, s *Attempt) {
	end := earlier.Final
	if earlier.Finals == 0 {
		end = earlier.Gone
	}
	if end.IsZero() || s.At.Add(j.parameters.Skew).Before(end) {
		v.addViolation("key %s: %s sent to %s while %s, taken before it, was not over", later.Key, later.ID,
			s.Engine, earlier.ID)
		return
	}
	for _, e := range j.attempts[earlier.ID] {
		if !e.At.Before(s.At) {
			continue
		}
		over, doubt := e.End, e.Lost || e.Code == "57014"
		if !e.Cancel.IsZero() && (over.IsZero() || e.Cancel.Before(over)) {
			over, doubt = e.Cancel, true
		}
		switch {
		case over.IsZero() || s.At.Add(j.parameters.Skew).Before(over):
			v.addViolation(
				"key %s: %s sent to %s while an attempt of %s at %s had no outcome",
				later.Key,
				later.ID,
				s.Engine,
				earlier.ID,
				e.Engine,
			)
		case doubt && s.At.Add(j.parameters.Skew).Before(over.Add(j.parameters.OrderRest)):
			v.addViolation("key %s: %s sent %v after a doubtful end of %s, rest %v", later.Key, later.ID,
				s.At.Sub(over),
				earlier.ID, j.parameters.OrderRest)
		}
	}
}

// checkPlacement is rule 6.
func (j *checker) checkPlacement(v *Verdict) {
	places := map[string]Endpoint{}
	for _, t := range j.log.Notifications {
		for id, p := range t.Engines {
			places[id] = p
		}
	}
	in := func(list []string, s string) bool {
		for _, x := range list {
			if x == s {
				return true
			}
		}
		return len(list) == 0
	}
	for _, s := range j.log.Attempts {
		c := j.parameters.Classes[s.Class]
		if len(c.Kinds)+len(c.Zones) == 0 {
			continue
		}
		v.Checked++
		if p := places[s.Engine]; !in(c.Kinds, p.Kind) || !in(c.Zones, p.Zone) {
			v.addViolation("%s %s: sent to %s of kind %q in zone %q", s.Class, s.ID, s.Engine, p.Kind, p.Zone)
		}
	}
}

// checkSessions is about sessions that name themselves: all statements of one on one engine connection, and
// none of another session's on that connection between its first and its last.
func (j *checker) checkSessions(v *Verdict) {
	type place struct {
		engine string
		pid    uint32
	}
	at := map[string]place{}
	last := map[string]int{}
	for i, s := range j.log.Attempts {
		if s.Session == "" {
			continue
		}
		v.Checked++
		here := place{s.Engine, s.PID}
		if was, ok := at[s.Session]; ok && was != here {
			v.addViolation(
				"session %s: %s on connection %d of %s, before it on %d of %s",
				s.Session,
				s.ID,
				s.PID,
				s.Engine,
				was.pid,
				was.engine,
			)
		}
		at[s.Session], last[s.Session] = here, i
	}
	holds := map[place]string{}
	for i, s := range j.log.Attempts {
		here := place{s.Engine, s.PID}
		if h := holds[here]; h != "" && s.Session != h {
			v.addViolation(
				"connection %d of %s: %s came while session %s was kept there",
				s.PID,
				s.Engine,
				s.ID,
				h,
			)
		}
		if s.Session != "" {
			if holds[here] = s.Session; last[s.Session] == i {
				delete(holds, here)
			}
		}
	}
}

// checkRetryBudget is rule 7.
func (j *checker) checkRetryBudget(v *Verdict) {
	if !j.parameters.HasBudget {
		v.Note = "no budget is set"
		return
	}
	taken := map[string][]time.Time{}
	for _, a := range j.log.Requests {
		taken[a.Dispatcher] = append(taken[a.Dispatcher], a.At)
	}
	further := map[string][]time.Time{}
	for _, list := range j.attempts {
		for _, s := range list[min(1, len(list)):] {
			further[s.Dispatcher] = append(further[s.Dispatcher], s.At)
		}
	}
	for d, list := range further {
		sort.Slice(list, func(a, b int) bool { return list[a].Before(list[b]) })
		for i, at := range list {
			v.Checked++
			from := at.Add(-j.parameters.BudgetLookBack)
			n, m := 0, 0
			for k := i; k >= 0 && list[k].After(from.Add(j.parameters.Skew)); k-- {
				n++
			}
			for _, t := range taken[d] {
				if t.After(from.Add(-j.parameters.Skew)) && t.Before(at.Add(j.parameters.Skew)) {
					m++
				}
			}
			if most := j.parameters.BudgetFree + j.parameters.BudgetShare*float64(m); float64(n) > most {
				v.addViolation(
					"dispatcher %s at %s: %d further attempts within %v, %.1f allowed",
					d,
					j.timeOfDay(at),
					n,
					j.parameters.BudgetLookBack,
					most,
				)
			}
		}
	}
}
