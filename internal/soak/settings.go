package soak

import "time"

// What the dispatchers' settings say and the oracle judges by.
const (
	drainGrace        = 2 * time.Second        // after a drain was announced, queries may still be started
	orderSettleDelay  = 100 * time.Millisecond // between requests of an ordering key after a doubtful end
	retryBudgetFree   = 1.0                    // retries in a window that no request has to allow
	retryBudgetRatio  = 0.04                   // retries that each request of the window allows
	retryBudgetWindow = 4 * time.Second
	slowStartFrom     = 0.3 // share of the capacity at a compute node's start
	slowStartDuration = 6 * time.Second
	slowStartFactor   = 0.6 // load that counts as overload, as a share of the capacity
	slowStartWindow   = time.Second
	nodeCores         = 4.0
)

// Further settings, which nothing here judges by.
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

// The settings of the platform. Fields stand in the order of their JSON keys; the keys are the platform's.

// platformSettings is the whole of them.
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

// classSettings are those of a request class.
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

// limitSettings bound what a dispatcher may do.
type limitSettings struct {
	Cancel           bool  `json:"cancel"`
	ConnIdleUS       int64 `json:"conn-idle-us"`
	ConnectTimeoutUS int64 `json:"connect-timeout-us"`
	MaxAttempts      int   `json:"max-attempts"`
	MaxRetryAfterUS  int64 `json:"max-retry-after-us"`
	MayProbe         bool  `json:"may-probe"`
	RetryAfter       bool  `json:"retry-after"`
}

// ruleSettings are the rules that the oracle judges; those of the retry budget stand there only with one.
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

// fleetSettings describe the compute nodes by their kind, and the classes by their order.
type fleetSettings struct {
	ClassThreads   []float64 `json:"class-threads"`
	CoresOfKind    []float64 `json:"cpu-of-kind"`
	MemoryMBOfKind []float64 `json:"kind-memory-mb"`
	WritesTables   []bool    `json:"writes-tables"`
	YieldsToLoads  []bool    `json:"yields-to-loads"`
}

// newPlatformSettings returns the settings of a plan's dispatchers.
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

// processConfig is the configuration file of a dispatcher's process.
type processConfig struct {
	Discovery string           `json:"board"` // its address
	Known     knownEvents      `json:"known"`
	Limits    processLimits    `json:"limits"`
	Listen    string           `json:"listen"`
	Name      string           `json:"name"`
	Seed      string           `json:"seed"`
	Settings  platformSettings `json:"settings"`
}

// knownEvents are the watch events that a process is given with its configuration.
type knownEvents struct {
	Events   []watchEvent `json:"notices"`
	Revision int          `json:"rev"`
}

// processLimits are the resources that a process may use.
type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// processFaultConfig is the file by which faults are put into a process built with the tag faults. An empty
// one ends them.
type processFaultConfig struct {
	MaxDialDelayMS   int64   `json:"dial_most_ms,omitempty"`
	FailingCallShare float64 `json:"share,omitempty"`
	ClockStepMS      int64   `json:"wall_step_ms,omitempty"`
}
