package soak

import "time"

// Values of the dispatchers' settings. The oracle judges by all of them but orderSettleDelay.
const (
	drainGrace        = 2 * time.Second        // how long queries may still start after notice of a drain
	orderSettleDelay  = 100 * time.Millisecond // between requests of an ordering key after an uncertain end
	retryBudgetFree   = 1.0                    // retries in a window that are allowed without any request
	retryBudgetRatio  = 0.04                   // further retries allowed for each request in the window
	retryBudgetWindow = 4 * time.Second
	slowStartFrom     = 0.3 // share of the capacity at a compute node's start
	slowStartDuration = 6 * time.Second
	slowStartFactor   = 0.6         // share of the current capacity above which load counts as overload
	slowStartWindow   = time.Second // over which the load is measured
	nodeCores         = 4.0         // of each compute node
)

// Further values of the settings. The oracle judges by none of them directly; exitTimeout follows from
// longestDeadline.
const (
	latencyObjective    = 400 * time.Millisecond
	longestDeadline     = 3 * time.Second
	replyMargin         = 5 * time.Millisecond
	nodeMemoryMB        = 65536
	maxAttempts         = 5
	maxRetryAfter       = time.Second
	connectTimeout      = 250 * time.Millisecond
	nodeConnIdleTimeout = 10 * time.Second
	tickInterval        = time.Millisecond
	nodeKind            = "k"
	onlyZone            = "z"
)

// The types below are the platform's settings as JSON. The platform determines the keys. Fields are in the
// order of their keys.

// platformSettings is the complete settings of a dispatcher.
type platformSettings struct {
	Classes        []classSettings `json:"classes"`
	Limits         limitSettings   `json:"limits"`
	MembershipMode string          `json:"membership-mode"`
	Ordinal        int             `json:"ordinal"`
	PeersTotal     int             `json:"peers-total"`
	Rules          ruleSettings    `json:"rules"`
	Shapes         []string        `json:"shapes"` // the kinds of compute node
	Specifics      fleetSettings   `json:"specifics"`
	Tenants        []string        `json:"tenants"`
	TickUS         int64           `json:"tick-us"`
	Zone           string          `json:"zone"`
}

// classSettings is the settings of a request class.
type classSettings struct {
	LatencyObjectiveUS    int64       `json:"aim-us"`
	DeadlineUS            int64       `json:"deadline-us"`
	PriorityWeight        float64     `json:"importance"`
	InOrder               bool        `json:"in-turn,omitempty"`
	IdempotencyKeyScope   string      `json:"key-scope,omitempty"`
	Name                  string      `json:"name"`
	Idempotency           idempotency `json:"semantics"`
	DeduplicationWindowUS int64       `json:"window-us"`
}

// limitSettings is the limits and permissions of a dispatcher.
type limitSettings struct {
	Cancel           bool  `json:"cancel"`
	ConnIdleUS       int64 `json:"conn-idle-us"`
	ConnectTimeoutUS int64 `json:"connect-timeout-us"`
	MaxAttempts      int   `json:"max-attempts"`
	MaxRetryAfterUS  int64 `json:"max-retry-after-us"`
	MayProbe         bool  `json:"may-probe"`
	RetryAfter       bool  `json:"retry-after"`
}

// ruleSettings is the parameters of the rules that dispatchers keep. Those of the retry budget are left out
// in a plan without a budget.
type ruleSettings struct {
	SlowStartFrom       float64 `json:"cold-from"`
	RetryBudgetFree     float64 `json:"free-resends,omitempty"`
	RetryBudgetRatio    float64 `json:"further-ratio,omitempty"`
	ReplyMarginUS       int64   `json:"grace-to-answer-us"`
	RetryBudgetWindowUS int64   `json:"look-back-us,omitempty"`
	OverloadFactor      float64 `json:"overload-factor"`
	OverloadWindowUS    int64   `json:"overload-for-us"`
	SlowStartDurationUS int64   `json:"ramp-time-us"`
	OrderSettleDelayUS  int64   `json:"settle-after-doubt-us"`
	DrainGraceUS        int64   `json:"stop-sending-within-us"`
}

// fleetSettings describes the compute nodes, one element for each of Shapes, and the request classes, one
// element for each of Classes.
type fleetSettings struct {
	ClassThreads   []float64 `json:"class-threads"`
	CoresOfKind    []float64 `json:"cpu-of-kind"`
	MemoryMBOfKind []float64 `json:"kind-memory-mb"`
	WritesTables   []bool    `json:"writes-tables"`
	YieldsToLoads  []bool    `json:"yields-to-loads"`
}

// newPlatformSettings returns the settings that all dispatchers of a plan share.
func newPlatformSettings(p *Plan) platformSettings {
	s := platformSettings{
		Limits: limitSettings{
			Cancel:           true,
			ConnIdleUS:       nodeConnIdleTimeout.Microseconds(),
			ConnectTimeoutUS: connectTimeout.Microseconds(),
			MaxAttempts:      maxAttempts,
			MaxRetryAfterUS:  maxRetryAfter.Microseconds(),
			MayProbe:         true,
			RetryAfter:       true,
		},
		MembershipMode: "push",
		PeersTotal:     p.Dispatchers,
		Rules: ruleSettings{
			SlowStartFrom:       slowStartFrom,
			ReplyMarginUS:       replyMargin.Microseconds(),
			OverloadFactor:      slowStartFactor,
			OverloadWindowUS:    slowStartWindow.Microseconds(),
			SlowStartDurationUS: slowStartDuration.Microseconds(),
			OrderSettleDelayUS:  orderSettleDelay.Microseconds(),
			DrainGraceUS:        drainGrace.Microseconds(),
		},
		Shapes: []string{nodeKind},
		Specifics: fleetSettings{
			CoresOfKind:    []float64{nodeCores},
			MemoryMBOfKind: []float64{nodeMemoryMB},
		},
		Tenants: []string{},
		TickUS:  tickInterval.Microseconds(),
		Zone:    onlyZone,
	}
	if p.Budget {
		s.Rules.RetryBudgetFree = retryBudgetFree
		s.Rules.RetryBudgetRatio = retryBudgetRatio
		s.Rules.RetryBudgetWindowUS = retryBudgetWindow.Microseconds()
	}
	for _, class := range requestClasses {
		s.Classes = append(s.Classes, newClassSettings(class))
		s.Specifics.ClassThreads = append(s.Specifics.ClassThreads, 1)
		s.Specifics.WritesTables = append(s.Specifics.WritesTables, false)
		s.Specifics.YieldsToLoads = append(s.Specifics.YieldsToLoads, false)
	}
	return s
}

// newClassSettings returns the settings of a request class.
func newClassSettings(class requestClass) classSettings {
	s := classSettings{
		LatencyObjectiveUS:    latencyObjective.Microseconds(),
		DeadlineUS:            longestDeadline.Microseconds(),
		PriorityWeight:        1,
		InOrder:               class.inOrder,
		Name:                  class.name,
		Idempotency:           class.idempotency,
		DeduplicationWindowUS: class.deduplicationWindow.Microseconds(),
	}
	if class.idempotency == idempotentWithKey {
		s.IdempotencyKeyScope = "all"
	}
	return s
}

// processConfig is the content of a dispatcher's configuration file.
type processConfig struct {
	Discovery string           `json:"board"` // address of the discovery server
	Known     knownEvents      `json:"known"`
	Limits    processLimits    `json:"limits"`
	Listen    string           `json:"listen"`
	Name      string           `json:"name"`
	Seed      string           `json:"seed"`
	Settings  platformSettings `json:"settings"`
}

// knownEvents is the watch events that a process gets with its configuration, and the number of the last.
type knownEvents struct {
	Events   []watchEvent `json:"notices"`
	Revision int          `json:"rev"`
}

// processLimits is the resources that a process may use.
type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// processFaultConfig is the content of the file that sets the faults inside a process that was built with the
// tag faults. The zero value ends them.
type processFaultConfig struct {
	MaxDialDelayMS   int64   `json:"dial_most_ms,omitempty"`
	FailingCallShare float64 `json:"share,omitempty"`
	ClockStepMS      int64   `json:"wall_step_ms,omitempty"`
}
