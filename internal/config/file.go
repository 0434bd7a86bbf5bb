package config

// File is a settings file as written. Durations are strings such as "1.5s". The keys are in the tags, and
// must not change. An omitted key has the zero value.
type File struct {
	Listen         string `hcl:"listen,optional"`
	MaxClients     int    `hcl:"max_clients,optional"`
	StartupTimeout string `hcl:"startup_timeout,optional"`
	HoldBack       int    `hcl:"hold_back,optional"`
	HoldBackTotal  int    `hcl:"hold_back_total,optional"`
	MaxMessage     int    `hcl:"max_message,optional"`
	MaxPending     int    `hcl:"max_pending,optional"`
	MaxInputBytes  int    `hcl:"max_input_memory,optional"`
	ClientBuffer   int    `hcl:"client_buffer,optional"`

	Seed          int    `hcl:"seed,optional"`
	Ordinal       int    `hcl:"ordinal,optional"`
	GatewayCount  int    `hcl:"gateways,optional"`
	Zone          string `hcl:"zone,optional"`
	BatchInterval string `hcl:"tick,optional"`

	StateDir              string `hcl:"state,optional"`
	SnapshotInterval      string `hcl:"state_every,optional"`
	PIDFile               string `hcl:"pid_file,optional"`
	HealthAddr            string `hcl:"health,optional"`
	TakeoverSocket        string `hcl:"takeover,optional"`
	DrainTimeout          string `hcl:"drain_for,optional"`
	MaxOpenQueries        int    `hcl:"max_held,optional"`
	MaxBufferedBytes      int    `hcl:"max_answer_memory,optional"`
	MaxConnectionsPerUser int    `hcl:"max_per_user,optional"`
	LagLimit              string `hcl:"lag_limit,optional"`
	DefaultClass          string `hcl:"default_class"`
	WriteClass            string `hcl:"write_class,optional"`
	DescribeClass         string `hcl:"describe_class,optional"`

	Log      *LogBlock      `hcl:"log,block"`
	Roster   *RosterBlock   `hcl:"roster,block"`
	Engines  *EnginesBlock  `hcl:"engines,block"`
	Rules    *RulesBlock    `hcl:"rules,block"`
	Limits   *LimitsBlock   `hcl:"limits,block"`
	Sessions *SessionsBlock `hcl:"sessions,block"`
	Flight   *FlightBlock   `hcl:"flight,block"`
	Shares   *SharesBlock   `hcl:"shares,block"`
	Peers    *PeersBlock    `hcl:"peers,block"`
	Record   *RecordBlock   `hcl:"record,block"`
	Classes  []ClassBlock   `hcl:"class,block"`
	Kinds    []KindBlock    `hcl:"kind,block"`
	Tenants  []TenantBlock  `hcl:"tenant,block"`
	Matches  []MatchBlock   `hcl:"match,block"`
}
