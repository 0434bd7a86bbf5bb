package simulation

import (
	"time"

	"cresspass"
	"cresspass/internal/dispatch"
	"cresspass/internal/simulation/enginemodel"
)

// GossipMode says what dispatchers learn from one another.
type GossipMode int

// The modes.
const (
	NoGossip           GossipMode = iota // nothing; the settings' ordinal and dispatcher count stand
	GossipOnly                           // they gossip; a dispatcher that starts has learnt nothing
	GossipAndBootstrap                   // they gossip; one that starts asks for what others have learnt
)

func (t GossipMode) String() string { return [...]string{"silent", "talking", "newcomers"}[t] }

// Traffic is what clients of one class send.
type Traffic struct {
	Class   string
	Rate    float64 // queries a second, at all dispatchers together
	Work    float64 // mean thread seconds
	Spread  float64 // sigma of the logarithm of the work
	Threads float64
	Retries int  // how often a client retries a rejected query
	Keys    int  // queries carry one of so many keys; 0: none
	Tables  int  // and one of so many table groups; 0: none
	IsLoad  bool // they write their tables, which blocks readers
	NeedMB  float64
	// CostEstimateFactor makes clients send a cost estimate of about this multiple of the work; 0: none.
	CostEstimateFactor float64
}

// Engine is an engine as it stands in the engine list, and its machine.
type Engine struct {
	Kind, Zone string
	Cell       int
	Machine    enginemodel.Kind
}

// enginesPerCell is the size of a cell of UniformEngines.
const enginesPerCell = 4

// UniformEngines returns engines of one kind and machine.
func UniformEngines(n int, kind string, m enginemodel.Kind) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{Kind: kind, Zone: "a", Cell: i / enginesPerCell, Machine: m}
	}
	return out
}

// Replay is one recorded client. The traffic of its class says what else it is like.
type Replay struct {
	At           time.Duration
	Traffic      int // index in Config.Traffic
	Dispatcher   int
	Work         float64
	CostEstimate float64 // thread seconds; 0: none
	Key          string
}

// Restart is dispatchers that stop and start again.
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
	// Decide makes the decider of a dispatcher that starts; nil: Policy's. If the decider has a method
	// Retire, it is called when the dispatcher stops.
	Decide      func(cfg *cresspass.Config, now time.Duration) (dispatch.Decider, error)
	Module      cresspass.Config
	Traffic     []Traffic
	Length      time.Duration
	Gossip      GossipMode
	Byzantine   int // the first so many dispatchers gossip false reports besides their own
	Network     NetworkConditions
	Restarts    []Restart
	Faults      []Fault
	TransitTime time.Duration // from a dispatcher to an engine, one way
	ListDelay   time.Duration // until dispatchers hear of a change in the engine list
	ReportDelay time.Duration // age of the engines' load reports
	Imbalance   float64       // share of all clients that the busiest tenth of dispatchers has; 0: even
	OmitLoads   bool          // leave out Result.Loads
	Workers     int           // cores that a run may use; 0: all
	Replay      []Replay      // recorded clients, besides those of the traffic
}

// class returns a class by its name; nil: there is none.
func (c *Config) class(name string) *cresspass.Class {
	for i := range c.Module.Classes {
		if c.Module.Classes[i].Name == name {
			return &c.Module.Classes[i]
		}
	}
	return nil
}
