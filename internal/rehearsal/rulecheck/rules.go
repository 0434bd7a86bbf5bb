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

// Ask is a query as a client put it.
type Ask struct {
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

// Send is an attempt as an engine got it.
type Send struct {
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
func (s *Send) neverRan() bool { return s.Skipped || s.Code == "53300" || s.Code == "57P03" }

// Told is a list that a dispatcher was told, with the engines on it. Between Sent and At, when it was
// acknowledged, the dispatcher may or may not have known of it: it may act on good news from Sent, and must
// heed bad news from At.
type Told struct {
	Sent       time.Time // zero: as At
	At         time.Time
	Dispatcher string
	Engines    map[string]Place // those that may be sent to; all others are drained or gone
}

// Place is where and what an engine is.
type Place struct {
	Zone, Kind string
	Cell       int
	Cores      float64
	Started    time.Time // zero: long ago
}

// Killed is when a dispatcher was killed and when it was back.
type Killed struct {
	Dispatcher string
	At, Back   time.Time
}

// Log is all that was seen.
type Log struct {
	Asks   []*Ask
	Sends  []*Send
	Told   []Told
	Killed []Killed
	Fallen []string // engines that were pushed over
	Stray  int      // answers that belong to no request
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

// Figures are those of the rules.
type Figures struct {
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

const evidenceMost = 5

func (v *Verdict) broken(format string, args ...any) {
	v.Kept = false
	if v.Broken++; len(v.Evidence) < evidenceMost {
		v.Evidence = append(v.Evidence, fmt.Sprintf(format, args...))
	}
}

// Kept reports whether all verdicts say that their rule was kept.
func Kept(all []Verdict) bool {
	for _, v := range all {
		if !v.Judged || !v.Kept {
			return false
		}
	}
	return true
}

type judge struct {
	f     Figures
	log   *Log
	asks  map[string]*Ask
	sends map[string][]*Send // of an ask, in the order of their sending
}

// Judge returns a verdict on each of the seven rules, and as an eighth on sessions that are kept on engines.
func Judge(f Figures, log *Log) []Verdict {
	j := &judge{f: f, log: log, asks: map[string]*Ask{}, sends: map[string][]*Send{}}
	sort.SliceStable(log.Sends, func(a, b int) bool { return log.Sends[a].At.Before(log.Sends[b].At) })
	sort.SliceStable(log.Asks, func(a, b int) bool { return log.Asks[a].At.Before(log.Asks[b].At) })
	sort.SliceStable(log.Told, func(a, b int) bool { return log.Told[a].At.Before(log.Told[b].At) })
	for _, a := range log.Asks {
		j.asks[a.ID] = a
	}
	for _, s := range log.Sends {
		j.sends[s.ID] = append(j.sends[s.ID], s)
	}
	names := []string{"answers", "effects", "drains", "cold starts", "order", "placement", "budget",
		"sessions"}
	rules := []func(*Verdict){j.answers, j.effects, j.drains, j.cold, j.order, j.placement, j.budget,
		j.sessions}
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

// clock shows a time by its second within the log.
func (j *judge) clock(t time.Time) string {
	if len(j.log.Asks) == 0 {
		return t.Format("15:04:05.000")
	}
	return fmt.Sprintf("%.3fs", t.Sub(j.log.Asks[0].At).Seconds())
}

func (j *judge) killedWith(a *Ask) bool {
	for _, k := range j.log.Killed {
		if k.Dispatcher == a.Dispatcher && !a.Gone.IsZero() && a.Gone.After(k.At.Add(-j.f.Skew)) &&
			(k.Back.IsZero() || a.Gone.Before(k.Back.Add(j.f.Skew))) {
			return true
		}
	}
	return false
}

// deadline is when the client gives up.
func (j *judge) deadline(a *Ask) time.Time {
	d := j.f.Classes[a.Class].Deadline
	if ms := number(a.Tags["wait_ms"]); ms > 0 { // the client's own wait, as the statement's comment tells
		d = min(d, time.Duration(ms*float64(time.Millisecond)))
	}
	return a.At.Add(d)
}

// answers is rule 1: exactly one final answer in the client's time, and nothing sent for the query after it.
func (j *judge) answers(v *Verdict) {
	if j.log.Stray > 0 {
		v.broken("%d answers belong to no request", j.log.Stray)
	}
	for _, a := range j.log.Asks {
		v.Checked++
		end := a.Final
		switch {
		case a.Skipped:
			if len(j.sends[a.ID]) > 0 {
				v.broken("%s %s was to be skipped behind an error, and went to %s", a.Class, a.ID,
					j.sends[a.ID][0].Engine)
			}
			continue
		case a.Finals > 1 || a.After > 0:
			v.broken("%s %s: %d final answers, %d messages out of place", a.Class, a.ID, a.Finals, a.After)
		case a.Finals == 0 && a.Gone.IsZero():
			v.broken("%s %s at %s got no answer", a.Class, a.ID, j.clock(a.At))
			continue
		case a.Finals == 0 && a.ServerGone && !j.killedWith(a):
			v.broken("%s %s: dispatcher %s closed its connection at %s without an answer", a.Class, a.ID,
				a.Dispatcher,
				j.clock(a.Gone))
			continue
		case a.Finals == 0:
			end = a.Gone // its client went, or its dispatcher was killed
		case a.Final.After(j.deadline(a).Add(j.f.AnswerGrace + j.f.Skew)):
			v.broken("%s %s: answered %v after its client's time", a.Class, a.ID, a.Final.Sub(j.deadline(a)))
		}
		for _, s := range j.sends[a.ID] {
			if s.At.After(end.Add(j.f.Skew)) {
				v.broken("%s %s: sent to %s %v after its end", a.Class, a.ID, s.Engine, s.At.Sub(end))
			}
		}
	}
	for id, list := range j.sends {
		if j.asks[id] == nil {
			v.broken("%s: sent to %s, but asked by no client", id, list[0].Engine)
		}
	}
}

// mayHaveRun returns the first attempt before a time that may have run, and whether any before it lacks an
// outcome.
func (j *judge) mayHaveRun(list []*Send) *Send {
	for _, s := range list {
		if !s.neverRan() {
			return s
		}
	}
	return nil
}

// effects is rule 2.
func (j *judge) effects(v *Verdict) {
	places := map[string]Place{}
	for _, t := range j.log.Told {
		for id, p := range t.Engines {
			places[id] = p
		}
	}
	for _, a := range j.log.Asks {
		c := j.f.Classes[a.Class]
		if c.Effect == "safe" {
			continue
		}
		v.Checked++
		list := j.sends[a.ID]
		for i, s := range list {
			first := j.mayHaveRun(list[:i])
			switch {
			case first == nil:
			case c.Effect == "unsafe":
				v.broken("%s %s: sent again to %s though an attempt at %s may have run", a.Class, a.ID,
					s.Engine,
					first.Engine)
			case s.At.Sub(first.At) > c.Window+j.f.Skew:
				v.broken("%s %s: sent again %v after the first, window %v", a.Class, a.ID, s.At.Sub(first.At),
					c.Window)
			case c.Scope == "zone" && places[s.Engine].Zone != places[first.Engine].Zone,
				c.Scope == "cell" && (places[s.Engine].Cell != places[first.Engine].Cell ||
					places[s.Engine].Zone != places[first.Engine].Zone):
				v.broken("%s %s: sent again to %s, outside the %s of %s", a.Class, a.ID, s.Engine, c.Scope,
					first.Engine)
			}
		}
		if a.Code == "53000" && j.mayHaveRun(list) != nil && !(c.Effect == "keyed" && (c.Scope == "all" ||
			c.Scope == "")) {
			v.broken("%s %s: refused though an attempt may have run", a.Class, a.ID)
		}
	}
}

// drains is rule 3.
func (j *judge) drains(v *Verdict) {
	told := map[string][]Told{}
	for _, t := range j.log.Told {
		told[t.Dispatcher] = append(told[t.Dispatcher], t)
	}
	for _, s := range j.log.Sends {
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
		case !since.IsZero() && s.At.Sub(since) > j.f.DrainGrace+j.f.Skew:
			v.broken("%s %s: sent to %s by %s %v after that was told to drain or be gone", s.Class, s.ID,
				s.Engine,
				s.Dispatcher, s.At.Sub(since))
		case !known && since.IsZero():
			// its list was told before the first that we saw
		}
	}
}

// cold is rule 4: what all dispatchers together sent an engine in a window, against what it can do.
func (j *judge) cold(v *Verdict) {
	for _, e := range j.log.Fallen {
		v.broken("engine %s was pushed over", e)
	}
	if j.f.ColdMultiple <= 0 || j.f.ColdFor <= 0 {
		return
	}
	starts := map[string]map[time.Time]Place{}
	for _, t := range j.log.Told {
		for id, p := range t.Engines {
			if !p.Started.IsZero() {
				if starts[id] == nil {
					starts[id] = map[time.Time]Place{}
				}
				starts[id][p.Started] = p
			}
		}
	}
	worst := 0.0
	for id, all := range starts {
		for started, p := range all {
			v.Checked++
			var window []*Send
			for _, s := range j.log.Sends {
				age := s.At.Sub(started)
				if s.Engine != id || age < 0 || age > j.f.ColdFor {
					continue
				}
				window = append(window, s)
				for s.At.Sub(window[0].At) > j.f.ColdWindow {
					window = window[1:]
				}
				sum := 0.0
				for _, w := range window {
					sum += w.Work
				}
				warmth := j.f.ColdFrom + (1-j.f.ColdFrom)*age.Seconds()/j.f.ColdFor.Seconds()
				share := sum / (j.f.ColdMultiple * p.Cores * warmth * j.f.ColdWindow.Seconds())
				if worst = max(worst, share); share > 1 {
					v.broken("engine %s, %v after its start: %.1f thread s in %v, %.0f%% of its limit", id,
						age.Round(time.Millisecond), sum, j.f.ColdWindow, share*100)
				}
			}
		}
	}
	v.Note = fmt.Sprintf("at most %.0f%% of the limit", worst*100)
}

// order is rule 5.
func (j *judge) order(v *Verdict) {
	type line struct{ dispatcher, key string }
	lines := map[line][]*Ask{}
	for _, a := range j.log.Asks {
		if c := j.f.Classes[a.Class]; c.InOrder && a.Key != "" && !a.Skipped {
			lines[line{a.Dispatcher, a.Key}] = append(lines[line{a.Dispatcher, a.Key}], a)
		}
	}
	for l, asks := range lines {
		for n, later := range asks {
			for _, s := range j.sends[later.ID] {
				v.Checked++
				for _, earlier := range asks[:n] {
					if later.At.Sub(earlier.At) < j.f.Skew || j.killedBetween(l.dispatcher, earlier.At,
						s.At) {
						// who came first cannot be told; or the dispatcher forgot the line with its life
						continue
					}
					j.inTurn(v, earlier, later, s)
				}
			}
		}
	}
}

func (j *judge) killedBetween(dispatcher string, from, to time.Time) bool {
	for _, k := range j.log.Killed {
		if k.Dispatcher == dispatcher && k.At.After(from) && k.At.Before(to) {
			return true
		}
	}
	return false
}

// inTurn looks at a send of a later query against an earlier one with its key.
func (j *judge) inTurn(v *Verdict, earlier, later *Ask, s *Send) {
	end := earlier.Final
	if earlier.Finals == 0 {
		end = earlier.Gone
	}
	if end.IsZero() || s.At.Add(j.f.Skew).Before(end) {
		v.broken("key %s: %s sent to %s while %s, taken before it, was not over", later.Key, later.ID,
			s.Engine, earlier.ID)
		return
	}
	for _, e := range j.sends[earlier.ID] {
		if !e.At.Before(s.At) {
			continue
		}
		over, doubt := e.End, e.Lost || e.Code == "57014"
		if !e.Cancel.IsZero() && (over.IsZero() || e.Cancel.Before(over)) {
			over, doubt = e.Cancel, true
		}
		switch {
		case over.IsZero() || s.At.Add(j.f.Skew).Before(over):
			v.broken("key %s: %s sent to %s while an attempt of %s at %s had no outcome", later.Key, later.ID,
				s.Engine,
				earlier.ID, e.Engine)
		case doubt && s.At.Add(j.f.Skew).Before(over.Add(j.f.OrderRest)):
			v.broken("key %s: %s sent %v after a doubtful end of %s, rest %v", later.Key, later.ID,
				s.At.Sub(over),
				earlier.ID, j.f.OrderRest)
		}
	}
}

// placement is rule 6.
func (j *judge) placement(v *Verdict) {
	places := map[string]Place{}
	for _, t := range j.log.Told {
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
	for _, s := range j.log.Sends {
		c := j.f.Classes[s.Class]
		if len(c.Kinds)+len(c.Zones) == 0 {
			continue
		}
		v.Checked++
		if p := places[s.Engine]; !in(c.Kinds, p.Kind) || !in(c.Zones, p.Zone) {
			v.broken("%s %s: sent to %s of kind %q in zone %q", s.Class, s.ID, s.Engine, p.Kind, p.Zone)
		}
	}
}

// sessions is about sessions that name themselves: all statements of one on one engine connection, and none
// of another session's on that connection between its first and its last.
func (j *judge) sessions(v *Verdict) {
	type place struct {
		engine string
		pid    uint32
	}
	at := map[string]place{}
	last := map[string]int{}
	for i, s := range j.log.Sends {
		if s.Session == "" {
			continue
		}
		v.Checked++
		here := place{s.Engine, s.PID}
		if was, ok := at[s.Session]; ok && was != here {
			v.broken("session %s: %s on connection %d of %s, before it on %d of %s", s.Session, s.ID, s.PID,
				s.Engine,
				was.pid, was.engine)
		}
		at[s.Session], last[s.Session] = here, i
	}
	holds := map[place]string{}
	for i, s := range j.log.Sends {
		here := place{s.Engine, s.PID}
		if h := holds[here]; h != "" && s.Session != h {
			v.broken("connection %d of %s: %s came while session %s was kept there", s.PID, s.Engine, s.ID, h)
		}
		if s.Session != "" {
			if holds[here] = s.Session; last[s.Session] == i {
				delete(holds, here)
			}
		}
	}
}

// budget is rule 7.
func (j *judge) budget(v *Verdict) {
	if !j.f.HasBudget {
		v.Note = "no budget is set"
		return
	}
	taken := map[string][]time.Time{}
	for _, a := range j.log.Asks {
		taken[a.Dispatcher] = append(taken[a.Dispatcher], a.At)
	}
	further := map[string][]time.Time{}
	for _, list := range j.sends {
		for _, s := range list[min(1, len(list)):] {
			further[s.Dispatcher] = append(further[s.Dispatcher], s.At)
		}
	}
	for d, list := range further {
		sort.Slice(list, func(a, b int) bool { return list[a].Before(list[b]) })
		for i, at := range list {
			v.Checked++
			from := at.Add(-j.f.BudgetLookBack)
			n, m := 0, 0
			for k := i; k >= 0 && list[k].After(from.Add(j.f.Skew)); k-- {
				n++
			}
			for _, t := range taken[d] {
				if t.After(from.Add(-j.f.Skew)) && t.Before(at.Add(j.f.Skew)) {
					m++
				}
			}
			if most := j.f.BudgetFree + j.f.BudgetShare*float64(m); float64(n) > most {
				v.broken("dispatcher %s at %s: %d further attempts within %v, %.1f allowed", d, j.clock(at),
					n,
					j.f.BudgetLookBack, most)
			}
		}
	}
}
