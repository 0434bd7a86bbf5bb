// Package computenode is the life of a query on one compute node of the platform: started by a POST, asked
// about until it ends, its pages gathered, or given up. A Machine does no I/O and reads no clock: what
// became of a call goes in, the next call comes out.
package computenode

import (
	"net/http"
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// What the protocol says of times, and what is waited beyond it.
const (
	newsAfter  = 250 * time.Millisecond // after which a compute node answers a question for news
	wayFirst   = 100 * time.Millisecond // more than that an answer may take on its way at first...
	wayMost    = 350 * time.Millisecond // ...and at most: doubled after each that did not come
	forgotten  = 2 * time.Second        // after which a compute node gives up what nobody asks for
	overtime   = 100 * time.Millisecond // on top of forgotten, for a clock that is not ours
	turn       = time.Second            // of those that start or ask, the first to come has a turn
	againFirst = 10 * time.Millisecond  // before a call is made again, from the second on, doubled each time
	againMost  = 160 * time.Millisecond
	quickNews  = 3                     // answers without an end that may come at once, one after another
	quickPause = 25 * time.Millisecond // between questions, from then on
	brokenMost = 8                     // calls in a row without a good answer: the result is lost
	pagesMost  = 64                    // pages of a result
	pageMost   = 6000                  // bytes of a page
	resultMost = 48000                 // bytes of a result
	notesMost  = 1e9                   // of a note's figure
)

// EventType says what became of the last Step.
type EventType int

// The events of a Machine.
const (
	Begin     EventType = iota // the first event
	Answered                   // Answer came whole
	Broken                     // the call may have come to the compute node; no answer that can be read came
	Refused                    // the connection was refused by an address that should take new ones
	Unreached                  // no connection came up, or it broke before anything was written
	NoRoom                     // there was no descriptor for a connection
	Unwanted                   // nothing was written: nobody waits for the query any more
	Withheld                   // nothing was written: the compute node takes nothing new, or it is too late
	Stop                       // it is to end with Outcome; what became of the last call was told before
)

// Event is what became of the last Step, or Stop.
type Event struct {
	Type    EventType
	Answer  *nodehttp.Answer
	Reset   bool // with Broken: the other side reset the connection
	Outcome cresspass.Outcome
}

// StepType says what is to be done.
type StepType int

// The steps of a Machine.
const (
	Start  StepType = iota // POST the query; Wait
	Ask                    // GET Page; after Pause; Fresh: not on the last connection; Wait
	Delete                 // DELETE the query; after Pause; Fresh; Wait; no longer than Until
	End                    // Outcome, Pages
)

// Step is the next thing to be done. Times are on the clock that the events' times are on.
type Step struct {
	Type        StepType
	Page        int
	Fresh       bool
	Due         time.Duration // by when it is to be made, where there are fewer connections than calls
	Pause, Wait time.Duration
	Until       time.Duration
	Outcome     cresspass.Outcome
	Pages       [][]byte
	Note        Note // with any step, what the last answer told
}

// Note is word of a query that runs; Type 0: none.
type Note struct {
	Type  cresspass.NoteType
	Value float64
}

// Machine is one attempt. The zero value is ready for Begin.
type Machine struct {
	// Alone: nothing may run beside the query, neither another attempt of it nor the next of its key
	Alone bool

	begun, asked time.Duration // asked: the last time at which a call may have come to the compute node
	posted       bool          // the query may be there
	doubt        bool          // a call broke, so that the compute node may never have had the query
	reset        bool          // the last call that was written ended with a reset
	unanswered   bool          // the start broke
	lost         bool          // the start was not answered, although its process lived on
	heard        bool          // an answer showed that the query had come to the compute node
	leaving      bool
	outcome      cresspass.Outcome // with which it is left
	bad, quick   int
	count, size  int
	pages        [][]byte
	calledAt     time.Duration // end of the pause before the last call
}

// Next takes an event at a time and returns what is to be done.
func (m *Machine) Next(now time.Duration, ev Event) Step {
	last := m.calledAt
	m.calledAt = now
	switch {
	case ev.Type == Begin:
		m.begun = now
		return Step{Type: Start, Due: now + turn, Wait: newsAfter + patience(0)}
	case ev.Type != Answered && ev.Type != Broken:
	case m.leaving: // a call that gives it up is no question
		m.reset = ev.Reset
	default:
		if ev.Type == Broken && !m.posted {
			m.unanswered, m.lost = true, !ev.Reset
		} else if ev.Type == Answered {
			m.lost = m.lost || m.unanswered
			m.heard = m.heard || !m.posted || shows(ev.Answer, len(m.pages))
		}
		m.posted, m.asked, m.reset = true, now, ev.Reset
	}
	switch {
	case ev.Type == Stop:
		return m.leave(ev.Outcome)
	case m.leaving:
		return m.left(now, ev)
	case ev.Type == Answered:
		return m.answered(now, now-last, ev.Answer)
	case !m.posted && (ev.Type == NoRoom || ev.Type == Unwanted):
		return Step{Type: End, Outcome: cresspass.Moot}
	case !m.posted && ev.Type == Withheld: // no fault of its compute node, and it may go to another
		return Step{Type: End, Outcome: cresspass.Full}
	case !m.posted:
		return Step{Type: End, Outcome: cresspass.ConnectFailed}
	case ev.Type == Refused && m.dead():
		return Step{Type: End, Outcome: cresspass.Reset}
	}
	return m.broken(now, ev.Type != Refused)
}

// dead reports whether a refused connection tells that the process which had the query is dead. Danger: a
// compute node that drains refuses connections while it runs what it has, and so does one that holds as many
// as it can: taken for dead, its query would be sent again, or the next of its key, beside it. A process that
// dies resets its connections, so the refusal has to follow a reset. Where the start was never answered,
// although the process went on, not even that ended the attempt for the platform: it is out until nobody has
// asked for it for long enough.
func (m *Machine) dead() bool { return m.reset && !m.lost }

// answered reads an answer to Start or Ask.
func (m *Machine) answered(now, took time.Duration, r *nodehttp.Answer) Step {
	next := len(m.pages)
	switch judge(r, next) {
	case pageGood:
		if next == 0 {
			m.count, _ = strconv.Atoi(r.Header["page-count"])
		}
		if m.size += len(r.Body); m.size > resultMost {
			return m.leave(cresspass.Failed)
		}
		m.pages = append(m.pages, r.Body)
		m.bad = 0
		if len(m.pages) >= max(m.count, 1) {
			return Step{Type: End, Outcome: cresspass.OK, Pages: m.pages}
		}
		return m.ask(r.Close, 0, Note{})
	case news:
		m.bad = 0
		// Danger: a compute node that answers at once, and always without news, would be asked without a
		// pause.
		pause := time.Duration(0)
		if m.quick++; took >= quickPause {
			m.quick = 0
		} else if m.quick > quickNews {
			pause = quickPause
		}
		return m.ask(r.Close, pause, note(r))
	case never:
		if r.Status == 504 {
			return Step{Type: End, Outcome: cresspass.Moot}
		}
		return Step{Type: End, Outcome: cresspass.Full}
	case failed:
		if m.doubt {
			// Danger: the way there broke, and the compute node is well: it says that it knows no such
			// query. As a reset it would count as failing, be shunned, and leave the others with its load.
			return Step{Type: End, Outcome: cresspass.TimedOut}
		}
		return Step{Type: End, Outcome: cresspass.Failed}
	}
	return m.broken(now, true)
}

// broken asks again, on a fresh connection or on any that is there: a query runs on although its connection
// is lost, and a result can be had again.
func (m *Machine) broken(now time.Duration, fresh bool) Step {
	m.doubt = true
	if m.bad++; m.bad > brokenMost && now-m.begun > forgotten {
		return m.leave(cresspass.Reset)
	}
	pause := time.Duration(0) // one break is followed up at once
	if m.bad > 1 {
		pause = min(againFirst<<min(m.bad-2, 8), againMost)
	}
	return m.ask(fresh, pause, Note{})
}

func (m *Machine) ask(fresh bool, pause time.Duration, n Note) Step {
	m.calledAt += pause
	s := Step{Type: Ask, Page: len(m.pages), Fresh: fresh, Pause: pause, Wait: patience(m.bad), Note: n,
		Due: m.calledAt}
	if s.Page == 0 {
		s.Wait += newsAfter
		// Danger: what nobody asks for is dropped, and those that are to start must not keep it waiting.
		s.Due = min(m.calledAt+turn, m.asked+forgotten-wayMost)
	}
	return s
}

// leave has the query given up. Danger: until its compute node knows, the attempt is out, and no other may
// be sent beside it.
func (m *Machine) leave(outcome cresspass.Outcome) Step {
	m.leaving, m.outcome, m.bad = true, outcome, 0
	if !m.posted {
		return Step{Type: End, Outcome: outcome}
	}
	return Step{Type: Delete, Due: m.calledAt, Wait: patience(0), Until: m.until()}
}

// until is when the compute node has given up by itself what nobody asked for.
func (m *Machine) until() time.Duration { return m.asked + forgotten + overtime }

// left reads what became of a Delete. What broke may not have come.
func (m *Machine) left(now time.Duration, ev Event) Step {
	done := ev.Type == Refused && m.dead() ||
		ev.Type == Answered && givenUp(ev.Answer)
	// Danger: a start of which nothing was heard may be on its way yet, on the connection that it was written
	// to, and come behind the Delete. Where nothing may run beside it, it is over only by one that is sent
	// when none can be on its way. Others would wait so long for nothing, and be refused.
	if arrived := m.asked + wayMost; done && m.Alone && !m.heard && now < arrived {
		return Step{Type: Delete, Due: arrived, Wait: patience(0), Until: m.until(), Pause: arrived - now}
	}
	if done || now >= m.until() {
		return Step{Type: End, Outcome: m.outcome}
	}
	m.bad++
	return Step{Type: Delete, Fresh: ev.Type != Refused, Due: now, Wait: patience(m.bad), Until: m.until(),
		Pause: min(againFirst<<min(m.bad-1, 8), againMost)}
}

// givenUp reports whether an answer to a Delete shows that the query is over: it was given up, or is not
// known. Danger: an answer that no Delete gets may be a copy of an earlier one.
func givenUp(r *nodehttp.Answer) bool {
	return r.Status == http.StatusNoContent || r.Status == http.StatusInternalServerError
}

// patience is how long an answer that is due may take, after so many in a row that did not come. Danger: an
// answer that got lost is only found missing, and asked for again, when this is over; but where the core is
// full, answers that are there are read late.
func patience(bad int) time.Duration { return min(wayFirst<<min(bad, 4), wayMost) }

// state is what an answer means.
type state int

const (
	nonsense state = iota // no answer to what was asked
	news                  // not yet over
	pageGood              // the page that was asked for
	never                 // it never ran
	failed                // it may have run
)

// judge reads an answer to a call for a page.
func judge(r *nodehttp.Answer, page int) state {
	switch {
	case r.Status == 202 && page == 0:
		return news
	case r.Status == 200:
		number, numbered := r.Header["page-no"]
		n, err := strconv.Atoi(r.Header["page-count"])
		switch {
		case len(r.Body) > pageMost || !rows(r.Body):
			return nonsense
		case page > 0 && (!numbered || number != strconv.Itoa(page)):
			return nonsense // danger: a second copy of an earlier page
		case page == 0 && (numbered && number != "0" || err != nil || n < 0 || n > pagesMost):
			return nonsense
		}
		return pageGood
	case (r.Status == 503 || r.Status == 504) && r.Header["x-shed"] == "1":
		return never
	case r.Status == 500, r.Status == 503, r.Status == 504:
		return failed
	}
	return nonsense
}

// shows reports whether an answer to a question shows that the compute node has the query.
func shows(r *nodehttp.Answer, page int) bool {
	meaning := judge(r, page)
	return meaning == news || meaning == pageGood
}

// rows reports whether a page holds whole rows of three columns.
func rows(page []byte) bool {
	tabs := 0
	for _, c := range page {
		switch c {
		case '\t':
			tabs++
		case '\n':
			if tabs != 2 {
				return false
			}
			tabs = 0
		}
	}
	return tabs == 0 && (len(page) == 0 || page[len(page)-1] == '\n')
}

// note reads what an answer tells of a query that runs.
func note(r *nodehttp.Answer) Note {
	kinds := map[string]cresspass.NoteType{"frac": cresspass.NoteShareDone, "missing": cresspass.NoteSpills,
		"parked": cresspass.NoteWaits}
	v, err := strconv.ParseFloat(r.Header["figure"], 64)
	if kind, ok := kinds[r.Header["x-remark"]]; ok && err == nil && v >= 0 && v <= notesMost {
		return Note{kind, v}
	}
	return Note{}
}
