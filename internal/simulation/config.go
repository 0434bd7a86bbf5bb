package simulation

import (
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation/enginemodel"
)

// GossipMode selects what dispatchers learn from one another.
type GossipMode int

// The gossip modes.
const (
	NoGossip           GossipMode = iota // no gossip; ordinal and dispatcher count are configured
	GossipOnly                           // dispatchers gossip; a starting one gets no model state of others
	GossipAndBootstrap                   // dispatchers gossip; a starting one asks the others for model state
)

func (m GossipMode) String() string { return [...]string{"silent", "talking", "newcomers"}[m] }

// Traffic describes the queries that clients of one class send.
type Traffic struct {
	Class   string
	Rate    float64 // queries per second, to all dispatchers together
	Work    float64 // mean thread seconds
	Spread  float64 // sigma of the logarithm of the work
	Threads float64 // of a query
	Retries int     // how often a client retries a rejected query
	Keys    int     // number of different keys of queries; 0: they have none
	Tables  int     // number of different table groups of queries; 0: none
	IsLoad  bool    // the queries write their tables, which blocks readers
	NeedMB  float64 // memory that a query needs
	// CostEstimateFactor makes clients send a cost estimate of about this multiple of the work. If it is 0,
	// they send none.
	CostEstimateFactor float64
}

// Engine describes an engine: its entry in the engine list, and its machine.
type Engine struct {
	Kind, Zone string
	Cell       int
	Machine    enginemodel.Kind
}

// enginesPerCell is the number of engines in a cell of UniformEngines.
const enginesPerCell = 4

// UniformEngines returns n engines of one kind and machine in zone "a".
func UniformEngines(n int, kind string, m enginemodel.Kind) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{Kind: kind, Zone: "a", Cell: i / enginesPerCell, Machine: m}
	}
	return out
}

// Replay is a recorded query. Its Traffic gives the properties that are not recorded.
type Replay struct {
	At           time.Duration
	Traffic      int // index in Config.Traffic
	Dispatcher   int
	Work         float64 // thread seconds
	CostEstimate float64 // thread seconds; 0: none
	Key          string
}

// Restart makes dispatchers stop at At and start again After later.
type Restart struct {
	At, After    time.Duration
	Dispatchers  []int
	WithoutState bool // their snapshots are lost
}

// Config describes a fleet and its day.
type Config struct {
	Seed        uint64
	Dispatchers int
	Engines     []Engine
	Policy      string // "" is the module; else a baseline, see Policies
	// Decide creates the decider of a dispatcher that starts; nil: the decider of Policy. If the decider has
	// a method Retire, it is called when the dispatcher stops.
	Decide      func(cfg *cresspass.Config, now time.Duration) (dispatch.Decider, error)
	Module      cresspass.Config
	Traffic     []Traffic
	Length      time.Duration
	Gossip      GossipMode
	Byzantine   int // number of dispatchers, the first ones, that also send forged reports
	Network     NetworkConditions
	Restarts    []Restart
	Faults      []Fault
	TransitTime time.Duration // from a dispatcher to an engine, one way
	ListDelay   time.Duration // beyond minListDelay, until dispatchers receive a change in the engine list
	ReportDelay time.Duration // minimum age of the engines' load reports
	Imbalance   float64       // share of all clients at the busiest tenth of dispatchers; 0: even
	OmitLoads   bool          // leave out Result.Loads
	Workers     int           // see Queue.Workers
	Replay      []Replay      // recorded queries, in addition to those of Traffic
}

// class returns the class with the given name; nil if there is none.
func (c *Config) class(name string) *cresspass.Class {
	for i := range c.Module.Classes {
		if c.Module.Classes[i].Name == name {
			return &c.Module.Classes[i]
		}
	}
	return nil
}
