// Package cresspass decides, for one gateway that sees only its own traffic, when and on which engine
// each query runs. The design is Q-Cop (Tozer 2009) with a bound on running threads; docs/design.md
// tells what was kept and what was stretched. The types, events and actions stand in types.go.
package cresspass

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Tuned values. Shares and ratios have no unit; gains are the part of an error taken up per outcome.
const (
	tickEvery   = 50 * time.Millisecond // pace of the periodic look at what is running
	expiryTicks = 2                     // final answers leave this many batch ticks before the deadline
	askRetry    = 500 * time.Millisecond

	// The fit.
	baseGain    = 0.04 // least gain of a class's base; higher while it has seen few outcomes
	kindGain    = 0.10 // gain of a kind's average weights
	engineGain  = 0.05 // gain of an engine's own deviation from its kind
	meanGain    = 0.05 // gain of a class's mean work
	firstTry    = 0.98 // a try that may last less than this share of the longest seen is a later one
	unitLeast   = 0.02 // least base, in parts of the aim: below, travel and handshakes rule the time
	robustRatio = 4.0  // an outcome counts as at most this many times its estimate
	weightMost  = 4.0  // a query adds at most this many times its own threads' share of an engine
	othersStart = 0.25 // weight of a thread of other gateways, over base and per core, before any outcome
	slowGain    = 0.12 // gain of an engine's slowness, much faster than the weights
	fleetGain   = 0.08 // gain of the fleet's slowness, fed by every outcome
	lateRatio   = 2.0  // a running query this many times over its estimate counts as a lower bound
	lostRatio   = 4.0  // one so many times over, its answer is taken for lost

	// Pressure and margin.
	slowHalfLife  = 40 * time.Second // of slowness: at full size an engine gives an outcome every 10 s or so
	slowBest      = 2.0              // slowness of the fleet that is no pressure, where threads are untold
	crowdBest     = 1.3              // told threads a core over the fleet that the margin aims at
	marginGain    = 0.5              // part of the pressure's logarithm that the margin takes up a second
	pressureLeast = 0.25             // less pressure lets the margin fall no faster
	marginMost    = 8.0
	marginIdle    = 2.0 // a query with a wider margin than this has no claim to an idle engine
	sizeFair      = 0.7 // part of its class's mean work from which a query's margin grows in an overload
	pressedOf     = 3   // one engine in this many under pressure is an overload of the fleet
	pressureRatio = 2.0 // latency over best from which the thread bound binds
	calmRatio     = 1.5 // latency over best under which it widens
	latencyGain   = 0.15
	fullPressure  = time.Second // an engine that turned work away is under pressure for so long
	boundStep     = 1.0         // threads added for each bound's worth of outcomes near best
	boundMost     = 2.0         // from this many times its start it binds always...
	boundCores    = 1.5         // ...unless calm outcomes have widened it, to this many threads a core
	boundUsed     = 0.5         // it widens only while this share of it is in use
	boundCut      = 0.9         // the bound shrinks to this share, at most once a typical latency
	boundFleet    = 8.0         // under pressure ours over all engines stay under so many of our parts
	spreadWeight  = 1.0         // an estimate counts as this much more where we fill our part of the cores
	tieSpread     = 1.0         // estimates this close, as a share, are alike: chance decides among them
	sitLeast      = 0.05        // threads that a session at rest counts as at least, when one is placed
	levelPower    = 2.0         // an engine with more sessions than its part costs this power of the excess
	quotaBurst    = 2.0         // seconds of a tenant's share that may come at once...
	quotaLeast    = 8.0         // ...and this many queries more: a small part of a share comes in clumps

	// What peers tell.
	tellEvery    = 500 * time.Millisecond // pace of reports to the hub
	tellLeast    = 1.0                    // thread seconds from which a sent query is told at once
	hubTurn      = 5 * time.Second        // how long a gateway is the hub
	newsHalfLife = 2 * time.Second        // of what was told
	sickLeast    = 3.0                    // failures and lost answers that may call an engine sick
	sickKeep     = 0.8                    // part of the evidence kept each time sums are told

	// What engines report.
	reportGain     = 0.2                    // gain of a kind's crowding, fed by every report
	scouts         = 3                      // engines probed before a long query is placed...
	scoutWait      = 25 * time.Millisecond  // ...which waits so long for their reports
	reportHalfLife = 500 * time.Millisecond // of a report, towards what the kind reports on average
	pagePower      = 2.5                    // at twice its memory a paging engine is some six times slower
	crowdHalfLife  = 10 * time.Second       // of a kind's crowding while nothing is reported
	reportMost     = 16.0                   // a report counts as at most so many threads a core

	// Health.
	failGain     = 0.2  // gain of an engine's share of failed attempts
	failSick     = 0.4  // share of failures from which an engine is sick
	failStreak   = 3    // failures in a row from which it is sick
	failWeight   = 4.0  // an estimate grows by this times the failure share...
	failFinal    = 16.0 // ...or this, where a failure would be the last
	silentRatio  = 3.0  // an attempt this far over its estimate, nothing heard since, is a sign of silence
	silentLeast  = 700 * time.Millisecond
	silentCount  = 2 // attempts that must show silence
	trialsGood   = 2 // answered trials after which an engine is well again
	shunFirst    = time.Second
	shunMost     = 5 * time.Second
	coldSlack    = 0.5  // part of the cold budget used, for chance and mistaken work
	coldSigmas   = 5.0  // between the mean of what goes by turns and the budget
	coldSize     = 3.0  // of the smallest class's mean work: no larger query goes by a turn
	cpuShare     = 0.85 // a capacity is the rate at which cores are this busy
	killRatio    = 2.5  // a projected run this many times over its estimate is a bad plan
	overRatio    = 3.0  // so is one so far over it of which nothing is heard; or its answer is lost
	killGain     = 1.3  // what is left must exceed a fresh run's estimate by this ratio
	killsMost    = 2    // a query that is long every time is just long
	untoldSpread = 2.0  // limits of bad plans are so much wider without a told cost
	grantStart   = 1.25 // memory granted over the estimate, adapted by class
	grantUp      = 0.06
	grantDown    = 0.01
	topRank      = 3

	learntHalfLife = 10 * time.Minute // of what an earlier gateway had learnt
)

func (g *Gateway) expiry() time.Duration { return expiryTicks * max(g.cfg.Tick, time.Millisecond) }

// Engine view and health.

// ask subscribes to the engine list. Renewing well inside the rule's time keeps the list from being
// deemed told to us while we have not seen it.
func (g *Gateway) ask() {
	g.do(Action{Type: Subscribe, On: true})
	g.askAt = g.now + max(g.cfg.Rules.AskWithin/2, askRetry)
}

// health takes in whether an attempt was answered. Failures are evidence about the engine, never about
// interference, so they stay out of the fit.
func (g *Gateway) health(e *engine, ok bool) {
	if ok {
		e.failing -= failGain * e.failing
		e.streak = 0
		if e.sick && e.trial {
			if e.trialsOK++; e.trialsOK >= trialsGood {
				e.sick, e.trial, e.shunFor, e.failing = false, false, 0, 0
			}
		}
		return
	}
	e.failing += failGain * (1 - e.failing)
	e.streak++
	if e.sick && e.trial || !e.sick && (e.streak >= failStreak || e.failing >= failSick) {
		g.shun(e)
	}
}

// shun keeps queries from an engine for a while, longer each time it fails its trials.
func (g *Gateway) shun(e *engine) {
	e.sick, e.trial, e.probing, e.trialsOK = true, false, false, 0
	e.shunFor = min(max(shunFirst, e.shunFor*2), shunMost)
	e.shunUntil = g.now + e.shunFor
}

func (g *Gateway) probed(ev *Event) {
	e := g.engines[ev.Engine]
	if e != nil && ev.HasReport {
		g.reported(e, ev.Report)
	}
	if e != nil && e.probing {
		if e.probing, e.trial = false, ev.Outcome == OK; !e.trial {
			g.shun(e)
		}
	}
}

// watch looks at what is running: silent engines, overdue queries, the fleet's median slowness.
func (g *Gateway) watch() {
	g.timer(tickEvery, 0)
	g.fleet *= kept(slowHalfLife)
	g.budgetLeft() // forgets what has left its window, also while nothing is tried again
	if g.cfg.AskList && g.now >= g.askAt {
		g.ask()
	}
	g.talk()
	g.scratch = g.scratch[:0]
	g.crowd *= kept(newsHalfLife)
	keepCrowd := kept(crowdHalfLife)
	for _, k := range g.kinds { // in any order
		k.crowd, k.granted = k.crowd*keepCrowd, k.granted*keepCrowd
	}
	keepSlow, keepRecent, keepNews := kept(slowHalfLife), kept(tellEvery), kept(newsHalfLife)
	fresh := newsHalfLife
	if g.reportedAt > g.toldAt { // others act on the same report, so it is soon no longer true
		fresh, keepNews = 0, kept(reportHalfLife)
	}
	sick, pressed, all := 0, 0, 0
	sat, busy := 0.0, 0.0
	for _, e := range g.list {
		sat += e.sessions
		e.slow, e.latency = e.slow*keepSlow, e.latency*keepCrowd
		g.accrue(e)
		g.coldTurn(e)
		others, less := &e.count[len(g.order)], e.recent*(1-keepRecent)
		e.recent, *others = e.recent-less, math.Max(0, *others-less)
		// Danger: an engine of which nothing is told would look free; it is taken to be like its kind.
		if g.now-e.toldAt > fresh {
			*others += (1 - keepNews) * (e.kind.crowd*g.hidden(e)*e.kind.cores - *others)
			e.granted += (1 - keepNews) * (e.kind.granted - e.granted)
		}
		silent := 0
		for _, a := range e.running {
			if a.q.only != "" {
				busy++
			}
			age := (g.now - a.at).Seconds()
			// Danger: a slow engine answers nothing for long, so its slowness would go unseen. But a lost
			// answer tells nothing of slowness; where notes show what runs, none is taken for that.
			if age > a.late*a.est && !a.cancelled && !(a.lost && g.cfg.ProgressEvery == 0) {
				seen := math.Log(a.late * a.est / a.base)
				e.slow += slowGain * math.Max(0, math.Min(seen, 2*math.Log(robustRatio))-g.slowness(e))
				if g.now-g.reportedAt > newsHalfLife { // reports show a crowd; what is overdue may be lost
					g.fleetSeen(seen - e.slow)
				}
				e.latency += latencyGain * math.Max(0, math.Min(seen, 2*math.Log(robustRatio))-e.latency)
				a.late *= lateRatio
				if a.late > lostRatio && !a.lost {
					// Danger: a lost answer would hold its room until the client gives up.
					g.leave(a)
					a.lost = true
					e.bad++
				}
			}
			if g.overtime(a, age) {
				g.callOff(a)
			}
			if age > silentRatio*a.est && e.heard < a.at+g.cfg.ProgressEvery && g.now-e.heard > silentLeast {
				silent++
			}
		}
		if !e.known {
			continue
		}
		if !e.sick {
			g.scratch = append(g.scratch, e.slow)
		}
		if all++; e.latency > math.Log(pressureRatio) && e.threads >= boundUsed*g.boundStart(e) {
			pressed++
		}
		if silent >= silentCount && !e.sick {
			g.shun(e)
			for _, a := range e.running { // what may lawfully run elsewhere is called off
				if !a.q.done && a.q.c.Effect != Unsafe && g.mayTryAgain(a.q) {
					g.cancel(a)
				}
			}
		}
		if e.sick {
			sick++
			if g.now >= e.shunUntil && !e.trial && !e.probing {
				if e.probing = g.cfg.MayProbe; e.probing {
					g.do(Action{Type: Probe, Engine: e.ID})
				} else {
					e.trial = true
				}
			}
		}
	}
	if sat > 0 {
		g.duty += (1 - keepCrowd) * (busy/sat - g.duty)
	}
	if sort.Float64s(g.scratch); len(g.scratch) > 0 {
		g.median = g.scratch[len(g.scratch)/2]
	}
	for _, e := range g.list {
		// Danger: with many outcomes a tick, slowness as it is now and a median of before chase one another.
		e.excess = e.slow - g.median
	}
	// Danger: all engines in trouble together is not one sick engine; shunning them all serves nobody.
	g.sickAll = sick*2 > all
	g.pressure = math.Exp(g.fleet) / slowBest
	step := -1.0 // without news the margin falls back: slowness alone may be no overload, and stay
	if g.now-max(g.toldAt, g.reportedAt) < newsHalfLife {
		g.pressure = g.crowd / crowdBest
	}
	if g.now-g.toldAt < newsHalfLife {
		step = math.Log(math.Max(g.pressure, pressureLeast))
	}
	g.margin = min(max(g.margin*math.Exp(step*marginGain*tickEvery.Seconds()), 1), marginMost)
	g.pressed = g.pressure > 1 || pressed*pressedOf > all
}

// kept is the share of a value kept from tick to tick, given its half-life.
func kept(half time.Duration) float64 { return math.Exp2(-tickEvery.Seconds() / half.Seconds()) }

// hidden is how much of an engine our queries leave in the dark: near 1 where our part of its cores is small.
func (g *Gateway) hidden(e *engine) float64 { return math.Pow(1+e.kind.cores/g.gateways, -2) }

// slowness is the logarithm by which an engine, and as far as that is hidden the fleet, is slower than Est.
func (g *Gateway) slowness(e *engine) float64 { return e.slow + g.hidden(e)*g.fleet }

// clip limits an error, in logarithms, to what one outcome may count for.
func clip(miss float64) float64 { return min(max(miss, -math.Log(robustRatio)), math.Log(robustRatio)) }

// fleetSeen takes in what an attempt tells of the fleet's slowness: when it ends in good time, else each time
// it becomes overdue.
func (g *Gateway) fleetSeen(ratio float64) { g.fleet += fleetGain * clip(ratio-g.fleet) }

// Mix model.

func (g *Gateway) base(q *query) float64 { return q.unit * q.c.scale }

// paging is how many times slower a query is for want of memory, where engines report what they granted.
// Danger: in an engine that pages nothing ends, so no outcome shows it, and all it holds keeps its memory.
func (g *Gateway) paging(q *query, e *engine) float64 {
	if e.kind.memory <= 0 || e.granted <= 0 || g.cfg.WhenShort != ShortagePage {
		return 1
	}
	return math.Pow(math.Max(1, e.granted+q.memory/e.kind.memory), pagePower)
}

// estimate is Est(i) in seconds for a newcomer, itself counted in.
func (g *Gateway) estimate(q *query, e *engine) float64 {
	i := q.c.index
	e.count[i]++
	est := g.base(q) * (1 + e.mix(i, e.count)) * math.Exp(g.slowness(e)) / g.warmth(e) * g.paging(q, e)
	e.count[i]--
	if q.c.loads {
		// Danger: a load stands still while another holds its tables there.
		for _, a := range e.running {
			if a.q.c.loads && a.q.tables == q.tables {
				est += math.Max(0, a.est-(g.now-a.at).Seconds())
			}
		}
	}
	return est
}

// learn corrects the fit by an answered attempt: the class's base, the weights by the mix it met, and,
// faster, the engine's slowness. Only slowness beyond the fleet's median is kept from the weights.
func (g *Gateway) learn(a *attempt, took float64) {
	c, e := a.q.c, a.e
	if took <= 0 || a.base <= 0 {
		return
	}
	x, norm := g.met(a, took)
	// Danger: a base of a millisecond makes every pause of the network look like a lost answer or a bad plan.
	took = math.Max(took, unitLeast*c.Aim.Seconds())
	want := 1 + e.mix(c.index, x)
	seen := took * g.warmth(e) / a.base
	// Errors are taken in logarithms and clipped: queries are widely spread, and one runaway must not
	// move the weights. Base and weights share the error, else they drift apart.
	miss := clip(math.Log(seen/want) - e.excess)
	used := 0.0
	for j, v := range x {
		threads := 1.0
		if j < len(g.order) {
			threads = g.order[j].threads
			used += v * threads
		}
		step := miss * want / norm * v / e.kind.cores
		most := weightMost * threads
		e.kind.weights[c.index][j] = min(max(e.kind.weights[c.index][j]+kindGain*step, 0), most)
		e.own[c.index][j] = min(max(e.own[c.index][j]+engineGain*step, -most), most)
	}
	// The base is the unloaded time, so only outcomes that met little of ours correct it.
	if light := 1 - (used-c.threads)/g.boundStart(e); light > 0 {
		c.seen += light
		c.scale *= math.Exp(light * math.Max(baseGain, 1/(c.seen+2)) * miss)
	}
	e.slow += slowGain * (clip(math.Log(seen/want)-g.hidden(e)*g.fleet) - e.slow)
	if a.late == lateRatio {
		g.fleetSeen(math.Log(seen/want) - e.slow)
	}
	g.adapt(e, c, min(max(math.Log(seen), -math.Log(robustRatio)), 2*math.Log(robustRatio)), took)
}

// heardDown takes others' word that an engine is dead, where nothing was seen of it here. Danger: the word
// may be old or a lie, so it costs the engine one probe, no more.
func (g *Gateway) heardDown(e *engine) {
	if e != nil && e.heard == e.since && !e.sick && len(e.running) == 0 {
		g.shun(e)
	}
}

// recount has all shares follow the number of gateways. Danger: bounds that were widened as one of few would
// together be far too wide for many, and would shrink only as engines crowd.
func (g *Gateway) recount(ordinal int, count float64) {
	if !(count >= 1 && count < math.MaxInt32) || ordinal < 0 || float64(ordinal) >= count {
		return
	}
	if ordinal != g.cfg.Ordinal || count != g.gateways { // reports are by ordinals, which may be others' now
		clear(g.reports)
		g.gathers = 0
	}
	fewer := math.Min(1, g.gateways/count)
	g.cfg.Ordinal, g.cfg.Gateways, g.gateways = ordinal, int(count), count
	for _, e := range g.list {
		e.bound = math.Max(e.bound*fewer, g.boundStart(e))
	}
	for _, t := range g.cfg.Tenants {
		g.tenants[t.Name].rate = t.Quota / count
	}
}

// Evidence of peers. At full size one gateway's queries tell nearly nothing of an engine, so gateways report
// to a hub, a part that goes round, what they run where and how it ended; the hub tells all the sums. What is
// lost or stale fades, and decisions then rest on what a gateway sees itself.

// turn is the number of the present turn, by the clock that all gateways share.
func (g *Gateway) turn() time.Duration { return (g.now + g.ahead) / hubTurn }

// hub returns the gateway that gathers in a turn.
func (g *Gateway) hub(turn time.Duration) int { return hubOf(turn, g.cfg.Gateways) }

func hubOf(turn time.Duration, gateways int) int {
	return int(uint64(turn) * 0x9e3779b97f4a7c15 >> 33 % uint64(gateways))
}

// Gathers reports whether a gateway may tell others what it gathered, at a time of their common clock,
// where clocks differ by less than the pace of reports.
func Gathers(ordinal, gateways int, clock time.Duration) bool {
	for turn := (clock - tellEvery) / hubTurn; turn <= (clock+tellEvery)/hubTurn+1; turn++ {
		if hubOf(turn, max(gateways, 1)) == ordinal {
			return true
		}
	}
	return false
}

func (g *Gateway) talk() {
	if len(g.relay) > 0 { // a batch of a tick costs far less than a message to all for each query
		g.tell(-1, peerRelay, g.relay)
		g.relay = g.relay[:0]
	}
	if !g.cfg.MayTell || g.cfg.Gateways < 2 || g.now < g.talkAt {
		return
	}
	g.talkAt = g.now + tellEvery
	var own []peerEntry
	for _, e := range g.list {
		if e.threads > 0 || e.good+e.bad > 0 {
			own = append(own, peerEntry{e.tag, e.threads, e.good, e.bad})
			e.good, e.bad = 0, 0
		}
	}
	// Danger: a hub may be dead, so the one of the next turn gathers and tells as well.
	gathers := 0
	for turn := g.turn(); turn <= g.turn()+1; turn++ {
		if h := g.hub(turn); h == g.cfg.Ordinal {
			gathers = g.gathers + 1
		} else {
			g.tell(h, peerReport, own)
		}
	}
	if g.gathers = gathers; gathers == 0 {
		clear(g.reports)
		return
	}
	g.gather(g.cfg.Ordinal, own)
	// Danger: a hub that has only begun knows few of its peers, and would tell of a calm that is none.
	if gathers > 2 && gathers%2 == 0 {
		g.tellSums()
	}
}

// tellSums passes on the sums of the reports, to this gateway too.
// Danger: an engine that fails at once, or whose attempts are taken for lost, looks empty and would draw
// all, so its load counts for more, and as the most where little good comes from it. What befalls all alike,
// as answers lost on the way, is no engine's fault, and would pass for an overload.
func (g *Gateway) tellSums() {
	good, bad := 0.0, 0.0
	for _, e := range g.list {
		e.sum = 0
		good, bad = good+e.goodSum, bad+e.badSum
	}
	for _, r := range g.reports {
		for _, n := range r.entries {
			if e := g.byTag[n.tag]; e != nil && g.now-r.at < 2*tellEvery {
				e.sum += n.load
			}
		}
	}
	var sums []peerEntry
	for _, e := range g.list {
		worse := math.Max(0, e.badSum/(e.badSum+e.goodSum+1)-bad/(bad+good+1))
		load := math.Min(e.sum*(1+failWeight*worse), peerCap-1)
		if bad < good && e.badSum > math.Max(sickLeast, e.goodSum) {
			load = peerCap
		}
		if e.known {
			sums = append(sums, peerEntry{tag: e.tag, load: load})
		}
		e.goodSum, e.badSum = e.goodSum*sickKeep, e.badSum*sickKeep
	}
	g.tell(-1, peerSums, sums)
	g.told(peerSums, sums)
}

// told takes in loads: sums replace what was known, sent queries add to it until the sums hold them.
func (g *Gateway) told(m peerMessage, entries []peerEntry) {
	threads, cores := 0.0, 0.0
	for _, n := range entries {
		e := g.byTag[n.tag]
		if e == nil {
			continue
		}
		g.accrue(e)
		others := &e.count[len(g.order)]
		if m != peerSums {
			e.recent += n.load * g.hidden(e)
			*others += n.load * g.hidden(e)
			continue
		}
		if n.load < peerCap {
			threads, cores = threads+n.load, cores+e.kind.cores
		}
		*others, e.toldAt = math.Max(0, n.load-e.threads)*g.hidden(e)+e.recent, g.now
	}
	if cores > 0 {
		g.crowd, g.toldAt = threads/cores, g.now
		for _, k := range g.kinds {
			k.crowd = g.crowd
		}
	}
}

// reported takes in what an engine tells of the queries it holds, where no peer tells of them: the place of
// unseen threads in Est is filled from it, and like engines of which little is heard are taken to be alike.
// Danger: reports are late, noisy and perhaps wrong, so they are clipped, and fade.
func (g *Gateway) reported(e *engine, values []float64) {
	if g.now-g.toldAt < newsHalfLife || len(values) != len(g.cfg.ReportFields) {
		return
	}
	threads := -1.0
	for i, name := range g.cfg.ReportFields {
		switch v := values[i]; {
		case math.IsNaN(v) || v < 0:
		case name == "concurrent": // queries, of which ours show how many threads each has
			threads = math.Max(0, v-e.queries()) * g.threadsEach(e.kind)
		case name == "x0": // share of its memory that is granted
			e.granted = math.Min(v, reportMost)
			e.kind.granted += reportGain * (e.granted - e.kind.granted)
		}
	}
	if threads < 0 {
		return
	}
	threads = math.Min(threads, reportMost*e.kind.cores)
	e.kind.crowd += reportGain * (threads/e.kind.cores - e.kind.crowd)
	g.crowd, g.reportedAt = g.meanCrowd(), g.now
	g.accrue(e)
	e.count[len(g.order)], e.toldAt = threads*g.hidden(e), g.now
}

// Admission and choice.

// queryTaken takes a client's query and lines it up; release decides in the same call.
func (g *Gateway) queryTaken(ev *Event) {
	c := g.classes[ev.Class]
	if g.queries[ev.Query] != nil {
		return
	}
	if c == nil {
		g.do(Action{Type: Fail, Query: ev.Query}) // a class never told: nothing is known of what it may do
		return
	}
	q := &query{id: ev.Query, c: c, only: ev.Only, stays: ev.Stays, tables: ev.Tables, taken: g.now,
		deadline: g.now + ev.TimeLeft, memory: ev.MemoryMB, unit: c.Aim.Seconds(), spread: untoldSpread}
	if ev.HasCost && ev.Cost > 0 {
		q.unit, q.told, q.spread = ev.Cost.Seconds()/c.threads, true, 1
	}
	// Danger: a refused client comes again, its aim counts from its first try, and work for answers that can
	// earn nothing keeps an overload alive. The wait it has left tells what has passed, but only on a marked
	// repeat: hurried clients give their first tries short waits too, and must not be refused for it.
	c.wait = max(c.wait, ev.TimeLeft)
	if ev.IsRepeat && float64(ev.TimeLeft) < firstTry*float64(c.wait) {
		q.waited = max(0, c.Deadline-ev.TimeLeft)
	}
	q.unit = math.Max(q.unit, unitLeast*c.Aim.Seconds())
	if q.told || !g.cfg.TellsCost {
		c.work += meanGain * (q.unit*math.Max(1, c.scale)*c.threads - c.work)
	}
	g.queries[q.id] = q
	if !ev.Uncounted {
		g.taken = append(g.taken, g.now)
	}
	if b := g.tenants[ev.Tenant]; b != nil && b.rate > 0 {
		q.over = !b.take(g.now, quotaLeast+b.rate*quotaBurst)
	}
	if c.InOrder && ev.Key != "" {
		g.lineUp(q, ev.Key)
	}
	if g.endsAt > 0 {
		q.deadline = min(q.deadline, g.endsAt)
	}
	g.hold(q)
	g.scout(q)
	if left := q.deadline - g.now; left <= g.expiry() {
		g.finish(q, ReasonTime)
	} else {
		g.timer(left-g.expiry(), uint64(q.id)+1)
	}
}

// scout probes a few engines that a long query may use, where neither peers nor our own queries show how
// full they are; the query waits for the reports. Danger: a jammed engine answers no query, so it reports
// nothing of itself, and one that fills up looks as free as it was when last heard of.
func (g *Gateway) scout(q *query) {
	reports := g.cfg.MayProbe && slices.Contains(g.cfg.ReportFields, "concurrent")
	if !reports || g.now-g.toldAt < newsHalfLife || g.base(q)*q.c.threads < tellLeast {
		return
	}
	asked := 0
	for _, i := range g.random.Perm(len(g.list)) {
		e := g.list[i]
		if asked < scouts && g.mayUse(q, e) && !e.sick && e.kind.cores/g.gateways < q.c.threads {
			g.do(Action{Type: Probe, Engine: e.ID})
			asked++
		}
	}
	if asked > 0 {
		q.waits = g.now + scoutWait
		g.timer(scoutWait, uint64(q.id)+1)
	}
}

// timeLeft is the time an estimate must fit in, in seconds: until the client gives up, or until the aim,
// where that comes first.
func (g *Gateway) timeLeft(q *query) float64 {
	left := (q.deadline - g.now - g.expiry()).Seconds()
	aim := q.c.Aim.Seconds() + q.c.AimStretch*g.base(q) - (g.now - q.taken + q.waited).Seconds()
	return math.Min(left, aim)
}

// choose picks the engine with the lowest estimate that fits the time left; an engine holding none of
// ours comes first. Engines in blocked keep their room for queries with earlier deadlines. Where there
// is no engine, wait tells whether the query may be held or is to be refused.
func (g *Gateway) choose(q *query, blocked map[*engine]bool) (best *engine, wait bool) {
	var bestCost float64
	var bestIdle, usable bool
	left := g.timeLeft(q)
	caution := g.margin * math.Max(1, g.pressure)
	try := g.random.Float64()
	margin, opened := 1.0, 0.0
	for _, e := range g.list {
		if q.stays && e.known {
			opened += g.sessions(e)
		}
	}
	if g.pressed && q.told {
		// Danger: in an overload a few very long queries take the room of many; each earns no more than one.
		size := g.base(q) * q.c.threads / q.c.work
		margin = math.Pow(math.Max(1, size/sizeFair), 2)
	}
	// An engine that runs none of ours takes the next; where our part of it is smaller, by a chance only.
	for _, e := range g.list {
		if !g.mayUse(q, e) {
			continue
		}
		if e.sick && !g.sickAll && (!e.trial || len(e.running) > 0 || q.c.Effect == Unsafe) {
			continue
		}
		usable = true
		if q.stays && g.cfg.MaxSessions > 0 && g.sessions(e) >= float64(g.cfg.MaxSessions) {
			continue
		}
		idle := e.threads == 0
		est := g.estimate(q, e)
		// Danger: a gateway that runs nothing learns nothing, and what it last believed would hold for ever.
		mute := g.threads == 0 && g.now-e.heard > shunFirst
		trial := idle && (margin <= marginIdle || mute) && try < e.kind.cores/g.gateways/q.c.threads
		// Danger: weights learn of a crowd late, and never while nothing ends. Cores are shared, so a query
		// is let in by a time that grows as threads a core do; it does not choose by it, as told loads are
		// old and a steep choice herds. A cold engine's intake is rationed and needs no guard.
		guard := 1.0
		if g.warmth(e) >= 1 {
			fill := (e.threads + e.count[len(g.order)]) / e.kind.cores
			guard = caution * math.Pow(math.Max(1, fill/(1+e.mix(q.c.index, e.count))), g.hidden(e))
		}
		if est*margin*guard > left && !(trial && (left > 0 || q.c.LateValue > 0)) {
			continue
		}
		wait = true
		if full := g.pressure > 1 && g.threads >= boundFleet*g.part(); full || blocked[e] || g.bounded(e) {
			blocked[e] = true
			continue
		}
		weight := failWeight
		if q.c.Effect == Unsafe {
			weight = failFinal
		}
		// Danger: while weights are small the engine that looks fastest would draw everything. Threads of
		// ours over our part of the cores keep near-ties apart.
		sits := 0.0
		if q.stays {
			// Danger: an engine full of sessions at rest looks free, and would draw those that come as well.
			// A session runs again, as often as others do, and it cannot move.
			sits = g.sessions(e) * math.Max(sitLeast, g.duty) * q.c.threads
			idle = idle && sits == 0
			est *= math.Pow(math.Max(1, (g.sessions(e)+1)/(opened*e.kind.cores/g.cores+1)), levelPower)
		}
		cost := est * (1 + weight*e.failing) * (1 + spreadWeight*(e.threads+q.c.threads+sits)/g.boundStart(e))
		if e == q.avoid { // only where there is no other
			cost, idle = cost*failFinal, false
		}
		// Danger: many gateways with like views would all pick the same engine.
		cost *= 1 + g.hidden(e)*tieSpread/q.c.threads*g.random.Float64()
		if best == nil || idle && !bestIdle || idle == bestIdle && cost < bestCost {
			best, bestCost, bestIdle = e, cost, idle
		}
	}
	// Danger: where fronts are uneven our part of a quota is a guess; it counts in an overload only.
	return best, wait && !(q.over && g.pressed) || !usable && g.base(q) <= left
}

// sessions is how many are kept on an engine, those that are being opened counted in.
func (g *Gateway) sessions(e *engine) float64 {
	n := e.sessions
	for _, a := range e.running {
		if a.q.stays {
			n++
		}
	}
	return n
}

// Restore takes over what an earlier gateway had learnt, as Snapshot gave it, the less the older it is: bases
// and weights drift to their starting values. What does not fit is left out; an error takes nothing.
func (g *Gateway) Restore(data []byte, age time.Duration) error {
	l, err := decodeLearnt(data)
	if err != nil {
		return err
	}
	keep := math.Exp2(-max(0, age).Seconds() / learntHalfLife.Seconds())
	toward := func(start, was float64) float64 { return start + keep*(was-start) }
	for _, was := range l.Classes {
		if c := g.classes[was.Name]; c != nil {
			c.scale = math.Exp(keep * math.Log(was.Scale))
			c.seen, c.work, c.grant = keep*was.Seen, toward(c.work, was.Work), toward(c.grant, was.Grant)
		}
	}
	for name, was := range l.Kinds {
		k := g.kinds[name]
		for i := range was {
			for j := range was[i] {
				if k != nil && l.fits(g) && j < len(k.weights[i]) {
					k.weights[i][j] = toward(k.weights[i][j], was[i][j])
				}
			}
		}
	}
	return nil
}

// Thread bound and hold queue.

// part is our part of all cores: where gateways outnumber cores, bounds of one thread an engine never bind.
func (g *Gateway) part() float64 { return math.Max(1, g.cores/g.gateways) }

func (g *Gateway) boundStart(e *engine) float64 { return math.Max(1, e.kind.cores/g.gateways) }

// bounded reports whether the thread bound keeps the next query from an engine: only under pressure.
// Danger: latency shows pressure late, and while other engines are bound, all queries pour into one that
// looks calm. So an engine filled with boundMost times our part of its cores is under pressure as well.
func (g *Gateway) bounded(e *engine) bool {
	pressed := e.latency > math.Log(pressureRatio) || g.now < e.full || e.threads >= boundMost*g.boundStart(e)
	return pressed && e.threads >= e.bound || g.now < e.full && e.threads == 0
}

// adapt widens the bound near the best latency and cuts it as latency grows.
func (g *Gateway) adapt(e *engine, c *class, ratio, took float64) {
	e.latency += latencyGain * (ratio - e.latency)
	latency := math.Exp(e.latency)
	switch {
	case latency < calmRatio && !g.pressed:
		if e.threads >= boundUsed*e.bound { // a bound that is not felt needs no widening
			e.bound = math.Min(e.bound+boundStep*c.threads/e.bound, math.Max(boundCores*e.kind.cores, 1))
		}
	case latency > pressureRatio && g.now > e.cutAt:
		e.bound = math.Max(g.boundStart(e), math.Min(e.bound, e.threads+c.threads)*boundCut)
		e.cutAt = g.now + time.Duration(took*float64(time.Second))
	}
}

// release lets held queries and newcomers leave, earliest deadline first, and refuses what no longer fits.
func (g *Gateway) release() {
	if len(g.held) == 0 {
		return
	}
	blocked := map[*engine]bool{}
	line := g.held
	g.held = nil
	for _, q := range line {
		q.held = false
		var e *engine
		wait, why := false, ReasonNoFit
		switch {
		case !g.mayTryAgain(q):
			why = ReasonNoRepeat
		case g.now < q.waits:
			wait = true
		case g.hasTurn(q):
			e, wait = g.choose(q, blocked)
		default:
			wait = g.base(q) <= g.timeLeft(q)
		}
		switch {
		case e != nil:
			g.send(q, e)
		case wait:
			g.hold(q)
		default:
			g.finish(q, why)
		}
	}
}

// Attempts and rule guards.

// mayTryAgain guards, for every send, what concerns the query alone: rule 1 (nothing after its end), the
// effects of a repeat (rule 2) and the budget of further attempts (rule 7).
func (g *Gateway) mayTryAgain(q *query) bool {
	if q.done || g.now >= q.deadline || g.cfg.MaxAttempts > 0 && q.tries >= g.cfg.MaxAttempts ||
		q.only != "" && q.tries > 0 {
		return false
	}
	if q.doubt != nil {
		if q.c.Effect == Unsafe || q.c.Effect == Keyed && g.now-q.doubt.at > q.c.Window-g.expiry() {
			return false
		}
	}
	return q.tries == 0 || g.budgetLeft()
}

// budgetLeft is rule 7. Queries are counted over a little less than the window and attempts over a
// little more, so that no reading of its edges breaks it.
func (g *Gateway) budgetLeft() bool {
	r := &g.cfg.Rules
	if !r.HasBudget {
		g.taken, g.further = g.taken[:0], g.further[:0]
		return true
	}
	from := g.now - r.BudgetLookBack
	g.taken = slices.DeleteFunc(g.taken, func(at time.Duration) bool { return at <= from+g.expiry() })
	g.further = slices.DeleteFunc(g.further, func(at time.Duration) bool { return at < from-g.expiry() })
	return float64(len(g.further)+1) <= r.BudgetFree+r.BudgetShare*float64(len(g.taken))
}

// hasTurn is rule 5: only the first of a key's line, with nothing of the key running and its rest over.
func (g *Gateway) hasTurn(q *query) bool {
	k := q.key
	return k == nil || k.line[0] == q && g.now >= k.rest && (k.running == 0 || k.running == len(q.out))
}

// mayUse guards what concerns a query on one engine: the group that drops repeats (rule 2), drains
// (rule 3), cold engines (rule 4) and placement (rule 6).
func (g *Gateway) mayUse(q *query, e *engine) bool {
	c := q.c
	if q.only != "" && (e.ID != q.only || g.now >= e.offAt+g.cfg.Rules.DrainGrace-g.expiry() && !e.known) {
		return false // a session's statements go where it is kept, on a draining engine within the grace
	}
	if !e.known && (q.only == "" || e.State != EngineDraining) ||
		len(c.Kinds) > 0 && !slices.Contains(c.Kinds, e.Kind) ||
		len(c.Zones) > 0 && !slices.Contains(c.Zones, e.Zone) {
		return false
	}
	if d := q.doubt; d != nil && c.Effect == Keyed && c.Scope != ScopeAll && d.e != e {
		if d.e.Zone != e.Zone || c.Scope == ScopeCell && d.e.Cell != e.Cell {
			return false
		}
	}
	return g.coldRoom(e, q)
}

// coldRoom is rule 4: this gateway's part of what a cold engine may be sent in any window. Danger: where many
// gateways share it, the part is under one query, and an engine would idle until it is warm. Small queries
// then go by turns: each gateway may send one a period, so long that all together send what is allowed. Turns
// start at random and lapse unused, so that they neither add up nor meet.
func (g *Gateway) coldRoom(e *engine, q *query) bool {
	r := &g.cfg.Rules
	if g.warmth(e) >= 1 || r.ColdMultiple <= 0 || r.ColdWindow <= 0 {
		e.coldSent = e.coldSent[:0]
		return true
	}
	work := g.workOf(q)
	from := g.now - r.ColdWindow - g.expiry()
	e.coldSent = slices.DeleteFunc(e.coldSent, func(s spent) bool { return s.at < from })
	sum := work
	for _, s := range e.coldSent {
		sum += s.work
	}
	return sum <= coldSlack*g.coldBudget(e, r.ColdFrom)/g.gateways ||
		g.now < e.turnEnds && work <= coldSize*g.smallest()
}

// coldBudget is what all gateways together may send an engine of some warmth in a window.
func (g *Gateway) coldBudget(e *engine, warmth float64) float64 {
	r := &g.cfg.Rules
	return r.ColdMultiple * e.kind.cores * cpuShare * warmth * r.ColdWindow.Seconds()
}

// coldTurn counts the periods of a cold engine's turns. They are so long that the mean of what is sent in a
// window stays under the budget by coldSigmas standard deviations, sizes spreading as widely as their mean.
func (g *Gateway) coldTurn(e *engine) {
	if g.warmth(e) >= 1 || g.cfg.Rules.ColdMultiple <= 0 {
		return
	}
	r := &g.cfg.Rules
	work := g.smallest()
	if work <= coldSlack*g.coldBudget(e, r.ColdFrom)/g.gateways {
		return
	}
	grown := math.Pow((g.warmth(e)-r.ColdFrom)/(1-r.ColdFrom), 2) // how it warms is not told: late, then
	budget := g.coldBudget(e, r.ColdFrom+(1-r.ColdFrom)*grown)
	k := coldSigmas * math.Sqrt(2*work/budget)
	share := math.Pow((math.Sqrt(k*k+4)-k)/2, 2) // where share + k*sqrt(share) = 1
	windows := tickEvery.Seconds() / r.ColdWindow.Seconds()
	if e.turn += windows * share * budget / (work * g.gateways); e.turn >= 1 {
		e.turn--
		e.turnEnds = g.now + r.ColdWindow/2
	}
}

// workOf is what a query is taken to need, in thread seconds: its class's mean, or more where it is told.
func (g *Gateway) workOf(q *query) float64 {
	if q.told {
		return math.Max(q.c.work, g.base(q)*q.c.threads)
	}
	return q.c.work
}

// send is the one place where queries are sent.
func (g *Gateway) send(q *query, e *engine) {
	if !g.mayTryAgain(q) || !g.hasTurn(q) || !g.mayUse(q, e) || len(q.out) > 0 && !g.cfg.MayDuplicate {
		return
	}
	g.accrue(e)
	a := &attempt{q: q, e: e, trial: q.tries, at: g.now, base: g.base(q), est: g.estimate(q, e),
		area: append([]float64(nil), e.area...), late: lateRatio}
	g.terms(a)
	send := Action{Type: Send, Query: q.id, Engine: e.ID}
	if g.warmth(e) < 1 && g.cfg.Rules.ColdMultiple > 0 {
		// Danger: a ration is for a moment. Sends that wait for a connection would come to a cold engine
		// together with those of a later ration.
		send.Within = g.cfg.Rules.ColdWindow / 2
	}
	g.do(send)
	// Danger: sums come too late for what outlasts them, and gateways would fill the same engines.
	if g.cfg.MayTell && g.gateways > 1 && a.base*q.c.threads >= tellLeast {
		entry := []peerEntry{{tag: e.tag, load: q.c.threads}}
		if h := g.hub(g.turn()); h != g.cfg.Ordinal {
			g.tell(h, peerSent, entry)
		} else {
			g.relay = append(g.relay, entry...)
		}
	}
	if g.warmth(e) < 1 {
		e.coldSent = append(e.coldSent, spent{g.now, g.workOf(q)})
		e.turnEnds = 0
	}
	g.begin(a)
}

func (g *Gateway) cancel(a *attempt) {
	if g.cfg.MayCancel && !a.cancelled {
		a.cancelled = true
		g.do(Action{Type: Cancel, Query: a.q.id, Attempt: a.trial})
	}
}

// finish is the one place where queries end by our hand (rules 1 and 2): refused where trying again is
// known to be harmless, else failed.
func (g *Gateway) finish(q *query, why Reason) {
	if q.done {
		return
	}
	answer := Action{Type: Fail, Query: q.id, Reason: why}
	ran := q.doubt != nil || len(q.out) > 0
	if q.c.Effect == Safe || !ran || q.c.Effect == Keyed && q.c.Scope == ScopeAll {
		answer.Type = Refuse
		if g.cfg.MayComeBack {
			answer.Wait = g.cfg.MaxComeBack // refused work that comes back soon keeps an overload alive
		}
	}
	g.do(answer)
	for _, a := range q.out {
		g.cancel(a)
	}
	g.forget(q)
}

func (g *Gateway) attemptDone(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	g.end(a)
	q, e := a.q, a.e
	if q.key != nil && (ev.Outcome == TimedOut || ev.Outcome == Reset || ev.Outcome == Cancelled) {
		q.key.rest = max(q.key.rest, g.now+g.cfg.Rules.OrderRest)
	}
	if !ev.Outcome.NeverRan() && (q.doubt == nil || a.at < q.doubt.at) {
		q.doubt = a
	}
	if ev.HasReport {
		g.reported(e, ev.Report)
	}
	switch ev.Outcome {
	case OK:
		e.good++
		e.heard = g.now
		g.health(e, true)
		g.learn(a, ev.Took.Seconds())
		if ev.WorkDone > 0 && !q.told { // its aim was a guess
			q.c.work += meanGain * (ev.WorkDone.Seconds() - q.c.work)
		}
		g.memoryKnown(a, ev.NeededMB)
	case Full:
		e.heard, e.full = g.now, g.now+fullPressure
		e.bound = math.Max(1, e.threads*boundCut)
	case Failed, Reset, ConnectFailed:
		e.bad++
		e.heard = g.now
		g.health(e, false)
	}
	if ev.Finished && !q.done {
		g.forget(q)
	}
	switch q.avoid = e; {
	case q.done || len(q.out) > 0 || q.held:
	case ev.Outcome == Moot:
		g.finish(q, ReasonMoot)
	case !g.mayTryAgain(q):
		g.finish(q, ReasonNoRepeat)
	default:
		g.hold(q)
	}
}

// mayCallOff reports whether an attempt may be called off so that its query is sent again.
func (g *Gateway) mayCallOff(a *attempt) bool {
	return !a.q.done && !a.cancelled && a.q.kills < killsMost && g.mayTryAgain(a.q)
}

func (g *Gateway) callOff(a *attempt) {
	a.q.kills++
	g.cancel(a)
}

// overtime reports whether an attempt is to be called off and its query sent again: it is far past what Est
// says now, and no note shows that it runs. Its answer was lost, or it has a bad plan; either way a fresh
// attempt should end first, as long as one fits. Danger: where engines are only slow this doubles the work.
func (g *Gateway) overtime(a *attempt, age float64) bool {
	q := a.q
	switch {
	case !g.mayCallOff(a) || q.c.Effect == Unsafe:
		return false
	case q.c.Effect == Keyed && g.now-a.at > q.c.Window-g.cfg.Rules.OrderRest-tickEvery:
		return false
	case g.cfg.ProgressEvery > 0 && g.now-max(a.at, a.noted) < 2*g.cfg.ProgressEvery+tickEvery:
		return false
	}
	est := math.Max(a.est, g.estimate(q, a.e))
	return age > overRatio*q.spread*est && est < g.timeLeft(q)
}

// progress reads a note on a running attempt. A bad plan is drawn anew for each attempt, so one that is
// far behind is called off where a fresh run should end well before it.
func (g *Gateway) progress(ev *Event) {
	a := g.attempts[attemptKey{ev.Query, ev.Attempt}]
	if a == nil {
		return
	}
	a.noted = g.now
	switch a.e.heard = g.now; ev.Note {
	case NoteSpills:
		a.spilled = true
	case NoteShareDone:
		q := a.q
		ran := (g.now - a.at).Seconds()
		total := ran / math.Max(ev.Value, 1e-3)
		if g.mayCallOff(a) && q.c.Effect == Safe && total > killRatio*q.spread*a.est &&
			total-ran > killGain*q.spread*a.est {
			g.callOff(a)
		}
	}
}

// Memory grants and priority.

// terms names memory and priority for the attempt about to be sent, where the settings heed them.
func (g *Gateway) terms(a *attempt) {
	q := a.q
	t := Action{Type: SetTerms, Query: q.id, Priority: 1}
	if g.cfg.TakesPriority { // classes rank by worth for each second of work
		t.Priority = topRank
		for _, c := range g.order {
			if c.Worth/c.work > q.c.Worth/q.c.work {
				t.Priority = max(t.Priority-1, 1)
			}
		}
	}
	most := g.cfg.MaxGrantShare * a.e.kind.memory
	switch {
	case !g.cfg.TakesGrants:
	case g.cfg.WhenShort == ShortagePage:
		t.MemoryMB = most // only memory in use counts there, so a generous grant costs nothing
	case q.memory > 0:
		t.MemoryMB = q.memory * q.c.grant
		if most > 0 {
			t.MemoryMB = math.Min(t.MemoryMB, most)
		}
	}
	if a.grant = t.MemoryMB; g.cfg.TakesGrants || g.cfg.TakesPriority {
		g.do(t)
	}
}

// memoryKnown steers a class's grant so that few of its queries spill. Danger: where neither notes nor costs
// are told nothing ever raises a grant; were it cut, all of its class would spill more and more.
func (g *Gateway) memoryKnown(a *attempt, needed float64) {
	switch {
	case a.grant <= 0 || a.q.memory <= 0:
	case a.spilled || needed > a.grant:
		a.q.c.grant *= 1 + grantUp
	case needed > 0 || g.cfg.ProgressEvery > 0:
		a.q.c.grant *= 1 - grantDown
	}
}
