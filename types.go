package cresspass

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// QueryID names one try of a client's query. The gateway returns it unaltered.
type QueryID uint64

// EngineID is the address of an engine. It tells nothing of its place, kind or age.
type EngineID string

// Effect says what repeating a query of a class may do.
type Effect int

// The effects a class can have.
const (
	Safe   Effect = iota // repeats do no harm
	Keyed                // repeats are dropped by a group of engines for a while
	Unsafe               // must never run twice
)

// Scope is the group of engines that drops repeats of a keyed query.
type Scope int

// The scopes a keyed class can have.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Shortage says what an engine does when grants pass its memory.
type Shortage int

// The behaviours of an engine short of memory.
const (
	ShortageUnknown Shortage = iota
	ShortageWait             // a query waits in the engine's line
	ShortageShrink           // a query gets what is left
	ShortagePage             // all queries slow down once memory in use passes what there is
)

// Class describes one class of query.
type Class struct {
	Name       string
	Aim        time.Duration // answers inside this time earn the full worth
	AimStretch float64       // the aim grows by this times work over threads
	Deadline   time.Duration // the client's whole wait
	Worth      float64
	LateValue  float64 // part of the worth an answer after the aim still earns
	Effect     Effect
	Scope      Scope
	Window     time.Duration // how long repeats of a keyed query are dropped
	InOrder    bool          // queries with one key run one at a time, as taken
	Kinds      []string      // the only kinds of machine allowed; empty: any
	Zones      []string      // the only zones allowed; empty: any
}

// Tenant is a client with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // queries a second within its share, over all gateways
	Share float64
}

// Rules holds the figures of the rules. A zero optional figure switches its rule off.
type Rules struct {
	AnswerGrace    time.Duration // slack after the deadline for a final answer
	DrainGrace     time.Duration // sends to a draining engine must cease within this
	ColdFrom       float64       // share of its capacity an engine starts with
	ColdFor        time.Duration // time until it is warm
	ColdMultiple   float64       // sent more than this multiple of its present capacity...
	ColdWindow     time.Duration // ...for this long, it falls over
	AskWithin      time.Duration // where the list must be asked for: how often
	OrderRest      time.Duration // rest of a key after a doubtful outcome
	HasBudget      bool          // whether further attempts are rationed
	BudgetFree     float64
	BudgetShare    float64
	BudgetLookBack time.Duration
}

// Config holds what a gateway is told at its start.
type Config struct {
	Seed     uint64
	Ordinal  int
	Gateways int // gateways sending to these engines, this one included
	Zone     string
	Tick     time.Duration
	AskList  bool // the engine list must be asked for

	Classes      []Class
	ClassThreads []float64 // for each class; empty: one
	ClassLoads   []bool    // for each class: it holds its table group while it runs
	ClassWaits   []bool    // for each class: it stands still while a load holds its group
	KindNames    []string
	KindCores    []float64 // for each kind; empty: unknown
	KindMemoryMB []float64 // for each kind; empty: unknown

	Tenants        []Tenant
	OverShareWorth float64
	Rules          Rules

	MaxAttempts   int // 0: no limit told
	MaxSessions   int // of this gateway, kept on one engine; 0: no limit told
	MaxComeBack   time.Duration
	MayCancel     bool
	MayDuplicate  bool
	MayProbe      bool
	MayTell       bool
	MayComeBack   bool     // refusals may carry a come-back time
	ReportFields  []string // names of the values in a load report; concurrent and x0 are used
	TakesGrants   bool
	TakesPriority bool
	MaxGrantShare float64
	WhenShort     Shortage
	ProgressEvery time.Duration // 0: no progress notes
	TellsCost     bool
}

// told returns value i of a list of settings, or the default where the list was not told.
func told[T any](list []T, i int, otherwise T) T {
	if len(list) == 0 {
		return otherwise
	}
	return list[i]
}

// Validate returns an error naming the first setting that contradicts itself.
func (c *Config) Validate() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("cresspass: Classes: none given")
	}
	for _, l := range []struct {
		name      string
		got, want int
	}{{"ClassThreads", len(c.ClassThreads), len(c.Classes)}, {"ClassLoads", len(c.ClassLoads), len(c.Classes)},
		{"ClassWaits", len(c.ClassWaits), len(c.Classes)}, {"KindCores", len(c.KindCores), len(c.KindNames)},
		{"KindMemoryMB", len(c.KindMemoryMB), len(c.KindNames)}} {
		if l.got != 0 && l.got != l.want {
			return fmt.Errorf("cresspass: %s: %d values, want %d", l.name, l.got, l.want)
		}
	}
	names := map[string]bool{}
	for i, k := range c.Classes {
		if k.Deadline <= 0 || k.Aim < 0 || k.Window < 0 {
			return fmt.Errorf("cresspass: Classes[%d]: deadline %v, aim %v, window %v", i, k.Deadline, k.Aim, k.Window)
		}
		if names[k.Name] {
			return fmt.Errorf("cresspass: Classes[%d].Name: %q given twice", i, k.Name)
		}
		names[k.Name] = true
	}
	r := &c.Rules
	values := map[string][]float64{"KindCores": c.KindCores, "ClassThreads": c.ClassThreads,
		"KindMemoryMB": c.KindMemoryMB, "MaxGrantShare": {c.MaxGrantShare}, "OverShareWorth": {c.OverShareWorth},
		"Rules": {r.ColdFrom, r.ColdMultiple, r.BudgetFree, r.BudgetShare}}
	for i, k := range c.Classes {
		values[fmt.Sprintf("Classes[%d]", i)] = []float64{k.Worth, k.LateValue, k.AimStretch}
	}
	for i, t := range c.Tenants {
		values[fmt.Sprintf("Tenants[%d]", i)] = []float64{t.Quota, t.Share}
	}
	var bad []string
	for name, list := range values {
		for i, v := range list {
			if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
				bad = append(bad, fmt.Sprintf("cresspass: %s: value %d is %v", name, i, v))
			}
		}
	}
	if sort.Strings(bad); len(bad) > 0 {
		return fmt.Errorf("%s", bad[0])
	}
	for i, v := range append(append([]float64{}, c.KindCores...), c.ClassThreads...) {
		if v <= 0 {
			return fmt.Errorf("cresspass: KindCores or ClassThreads: value %d is %v", i, v)
		}
	}
	return nil
}

// EventType tells which fields of an Event count.
type EventType int

// The events a gateway takes.
const (
	EngineList  EventType = iota // Listing, Engines
	QueryTaken                   // Query and what is told of it
	TimerDue                     // Label
	PeerMessage                  // Peer, Data
	ProbeDone                    // Engine, Outcome, Took, Report
	AttemptDone                  // Query, Attempt, Engine, Outcome, Took, Finished, cost, Report
	Progress                     // Query, Attempt, Engine, Note, Value
	StreamBegun                  // Query, Attempt, Engine, Took
	ClientGone                   // Query
	SessionKept                  // Engine, Value: 1, one more session is kept there; -1, one less
	FleetCount                   // Peer: our ordinal; Value: gateways, this one included; Took: a clock that all of them share
	EngineDown                   // Engine: others tell that it does not answer
	Ending                       // TimeLeft: until then all queries, newcomers too, must have their final answers
)

// Listing says how an EngineList event is to be read.
type Listing int

// The kinds of engine list.
const (
	ListChanges Listing = iota // changed engines only
	ListFull                   // the complete list
	ListCached                 // the complete list, perhaps out of date
	ListFailed                 // a call failed or the subscription broke
)

// EngineState is what discovery knows of an engine.
type EngineState int

// The states of an engine.
const (
	EngineOn EngineState = iota
	EngineDraining
	EngineGone
)

// EngineInfo is one entry of an engine list.
type EngineInfo struct {
	ID      EngineID
	State   EngineState
	Kind    string
	Zone    string
	Cell    int
	Size    float64
	Started time.Duration // on the gateway's clock; 0: long ago
}

// Outcome tells how an attempt or a probe ended.
type Outcome int

// The outcome codes.
const (
	OK            Outcome = 0
	Failed        Outcome = 5
	Full          Outcome = 11
	Reset         Outcome = 104
	TimedOut      Outcome = 110
	ConnectFailed Outcome = 111
	Moot          Outcome = 114
	Cancelled     Outcome = 125
)

// NeverRan reports whether the outcome proves that the attempt never ran.
func (o Outcome) NeverRan() bool {
	return o == Full || o == ConnectFailed || o == Moot
}

// NoteType is the topic of a progress note.
type NoteType int

// The topics of progress notes.
const (
	NoteShareDone NoteType = 1 // Value: share of the work done
	NoteSpills    NoteType = 2 // Value: megabytes missing
	NoteWaits     NoteType = 3 // Value: 1 for memory, 2 for a load
)

// Event is one thing that happened to a gateway; Type tells which fields count.
type Event struct {
	Type    EventType
	Query   QueryID
	Attempt int
	Engine  EngineID
	Outcome Outcome
	Took    time.Duration

	Listing Listing
	Engines []EngineInfo

	Class     string
	Tables    float64       // the group of tables the query reads
	TimeLeft  time.Duration // until the client gives up this try
	Key       string
	Only      EngineID // the one engine that may run it, where its session is kept there; "": any
	Stays     bool     // its session is to be kept where it runs
	Tenant    string
	HasCost   bool // Cost is a valid estimate
	Cost      time.Duration
	MemoryMB  float64 // estimate; 0: none
	IsRepeat  bool
	IsWrite   bool
	Uncounted bool          // no request of its own: it raises no budget of further attempts
	Finished  bool          // the query has its final answer
	WorkDone  time.Duration // with OK, where costs are told
	NeededMB  float64       // with OK, where costs are told
	Report    []float64     // load report, in the order of ReportFields
	HasReport bool

	Note  NoteType
	Value float64
	Label uint64
	Peer  int
	Data  []byte
}

// ActionType tells which fields of an Action count.
type ActionType int

// The actions a gateway can ask for.
const (
	Send      ActionType = iota // Query to Engine, Within; Wait is the attempt's time-out, 0: the deadline
	SetTimer                    // Wait, Label
	FetchList                   // ask for the complete list once
	CloseIdle                   // Engine
	Tell                        // Peer (-1: all), Data
	Refuse                      // Query, Reason; Wait is the come-back time, 0: none
	Fail                        // Query, Reason
	Probe                       // Engine
	Cancel                      // Query, Attempt
	SetTerms                    // Query, Priority, MemoryMB
	Log                         // Text
	Subscribe                   // On
)

// Reason says why a gateway ended a query without a result. It is for the log alone.
type Reason string

// The reasons.
const (
	ReasonTime     Reason = "no time is left"
	ReasonNoFit    Reason = "no engine fits the time left"
	ReasonNoRepeat Reason = "no further attempt is allowed"
	ReasonMoot     Reason = "it could not be started"
)

// Action is one thing a gateway wants done; Type tells which fields count.
type Action struct {
	Type     ActionType
	Query    QueryID
	Attempt  int
	Engine   EngineID
	Wait     time.Duration
	Label    uint64
	Peer     int
	Data     []byte
	Priority int
	MemoryMB float64
	Text     string
	On       bool
	Reason   Reason        // with Refuse and Fail
	Within   time.Duration // with Send: the decision holds for so long; 0: until the deadline
}
