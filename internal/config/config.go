// Package config reads the dispatcher's settings from HCL and checks them. Every fault is told with its file,
// line and column. docs/operate.md tells what each setting does.
package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"cresspass"
	"cresspass/internal/affinity"
	"cresspass/internal/recording"
)

// File is a settings file as written. Durations are texts such as "1.5s".
type File struct {
	Listen         string `hcl:"listen,optional"`
	MaxClients     int    `hcl:"max_clients,optional"`
	StartupTimeout string `hcl:"startup_timeout,optional"`
	HoldBack       int    `hcl:"hold_back,optional"`
	HoldBackTotal  int    `hcl:"hold_back_total,optional"`
	MaxMessage     int    `hcl:"max_message,optional"`
	MaxPending     int    `hcl:"max_pending,optional"`
	ClientBuffer   int    `hcl:"client_buffer,optional"`

	Seed     int    `hcl:"seed,optional"`
	Ordinal  int    `hcl:"ordinal,optional"`
	Gateways int    `hcl:"gateways,optional"`
	Zone     string `hcl:"zone,optional"`
	Tick     string `hcl:"tick,optional"`

	State         string `hcl:"state,optional"`
	StateEvery    string `hcl:"state_every,optional"`
	PidFile       string `hcl:"pid_file,optional"`
	Health        string `hcl:"health,optional"`
	Takeover      string `hcl:"takeover,optional"`
	DrainFor      string `hcl:"drain_for,optional"`
	MaxHeld       int    `hcl:"max_held,optional"`
	MaxAnswers    int    `hcl:"max_answer_memory,optional"`
	MaxPerUser    int    `hcl:"max_per_user,optional"`
	LagLimit      string `hcl:"lag_limit,optional"`
	DefaultClass  string `hcl:"default_class"`
	WriteClass    string `hcl:"write_class,optional"`
	DescribeClass string `hcl:"describe_class,optional"`

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

// LogBlock says how logs are written.
type LogBlock struct {
	Level  string `hcl:"level,optional"`
	Format string `hcl:"format,optional"`
}

// RosterBlock says where the engine list comes from.
type RosterBlock struct {
	EDS     string `hcl:"eds"`
	Service string `hcl:"service,optional"`
	Cache   string `hcl:"cache,optional"`
}

// EnginesBlock says how engines are reached and what they heed and tell.
type EnginesBlock struct {
	User           string   `hcl:"user,optional"`
	Database       string   `hcl:"database,optional"`
	MaxConnections int      `hcl:"max_connections,optional"`
	ConnectTimeout string   `hcl:"connect_timeout,optional"`
	CancelTimeout  string   `hcl:"cancel_timeout,optional"`
	IdleTimeout    string   `hcl:"idle_timeout,optional"`
	MaxPrepared    int      `hcl:"max_prepared,optional"`
	TakesGrants    bool     `hcl:"takes_grants,optional"`
	TakesPriority  bool     `hcl:"takes_priority,optional"`
	MaxGrantShare  float64  `hcl:"max_grant_share,optional"`
	WhenShort      string   `hcl:"when_short,optional"`
	ProgressEvery  string   `hcl:"progress_every,optional"`
	ReportFields   []string `hcl:"report_fields,optional"`
	MayProbe       bool     `hcl:"may_probe,optional"`
}

// RulesBlock holds the figures of the rules.
type RulesBlock struct {
	AnswerGrace    string   `hcl:"answer_grace,optional"`
	DrainGrace     string   `hcl:"drain_grace,optional"`
	ColdFrom       float64  `hcl:"cold_from,optional"`
	ColdFor        string   `hcl:"cold_for,optional"`
	ColdMultiple   float64  `hcl:"cold_multiple,optional"`
	ColdWindow     string   `hcl:"cold_window,optional"`
	OrderRest      string   `hcl:"order_rest,optional"`
	BudgetFree     *float64 `hcl:"budget_free,optional"`
	BudgetShare    float64  `hcl:"budget_share,optional"`
	BudgetLookBack string   `hcl:"budget_look_back,optional"`
}

// LimitsBlock holds what a query may cost.
type LimitsBlock struct {
	MaxAttempts int    `hcl:"max_attempts,optional"`
	MaxComeBack string `hcl:"max_come_back,optional"`
}

// Session bounds the sessions that are kept on engines.
type FlightBlock struct {
	Listen          string `hcl:"listen"`
	TicketLife      string `hcl:"ticket_life,optional"`
	SessionRest     string `hcl:"session_rest,optional"`
	KeepAlive       string `hcl:"keep_alive,optional"`
	MaxAge          string `hcl:"max_connection_age,optional"`
	MaxTickets      int    `hcl:"max_tickets,optional"`
	MaxStreams      int    `hcl:"max_streams,optional"`
	MaxTransactions int    `hcl:"max_transactions,optional"`
	MaxPrepared     int    `hcl:"max_prepared,optional"`
	MaxWaiting      int    `hcl:"max_waiting,optional"`
}

// PeersBlock has dispatchers talk.
type PeersBlock struct {
	Listen string   `hcl:"listen"`
	Name   string   `hcl:"name,optional"`
	Seeds  []string `hcl:"seeds,optional"`
	Keys   []string `hcl:"keys"` // hexadecimal; all are accepted, the first is used
	Rate   int      `hcl:"rate,optional"`
	Wait   string   `hcl:"wait,optional"` // for what others have learnt, at the start
}

// RecordBlock has what was taken written to a folder.
type RecordBlock struct {
	Dir     string `hcl:"dir"`
	FileMB  int    `hcl:"file_mb,optional"`
	TotalMB int    `hcl:"total_mb,optional"`
}

// SharesBlock are the parts of each limit (connections, held queries, bytes of answers) that are set apart
// for a front.
type SharesBlock struct {
	PostgreSQL float64 `hcl:"postgresql,optional"`
	Flight     float64 `hcl:"flight,optional"`
}

// SessionsBlock bounds the sessions that are kept on engines.
type SessionsBlock struct {
	IdleInTx string `hcl:"idle_in_transaction,optional"`
	MaxAge   string `hcl:"max_age,optional"`
	Max      int    `hcl:"max,optional"`
	PerUser  int    `hcl:"max_per_user,optional"`

	PerEngine int      `hcl:"max_per_engine,optional"`
	Harmless  []string `hcl:"harmless,optional"` // functions that leave nothing, as patterns: "geo_*"
}

// ClassBlock is a class of query.
type ClassBlock struct {
	Name             string   `hcl:"name,label"`
	LatencyObjective string   `hcl:"aim"`
	ObjectiveStretch float64  `hcl:"aim_stretch,optional"`
	Deadline         string   `hcl:"deadline"`
	PriorityWeight   float64  `hcl:"worth,optional"`
	LateValue        float64  `hcl:"late_value,optional"`
	Effect           string   `hcl:"effect"`
	Scope            string   `hcl:"scope,optional"`
	Window           string   `hcl:"window,optional"`
	InOrder          bool     `hcl:"in_order,optional"`
	OnKinds          []string `hcl:"on_kinds,optional"`
	InZones          []string `hcl:"in_zones,optional"`
	Threads          float64  `hcl:"threads,optional"`
	Loads            bool     `hcl:"loads,optional"`
	Waits            bool     `hcl:"waits,optional"`
}

// KindBlock is a kind of machine.
type KindBlock struct {
	Name     string  `hcl:"name,label"`
	Cores    float64 `hcl:"cores"`
	MemoryMB float64 `hcl:"memory_mb,optional"`
}

// TenantBlock is a client with a share of the service.
type TenantBlock struct {
	Name  string  `hcl:"name,label"`
	Quota float64 `hcl:"quota"`
	Share float64 `hcl:"share,optional"`
}

// MatchBlock gives statements a class, where all that it names fits. The first that fits counts.
type MatchBlock struct {
	Class       string `hcl:"class,optional"`
	User        string `hcl:"user,optional"`
	Database    string `hcl:"database,optional"`
	Application string `hcl:"application_name,optional"`
	Pattern     string `hcl:"pattern,optional"`
	Tenant      string `hcl:"tenant,optional"`
}

// MatchRule is a Match that was checked.
type MatchRule struct {
	Class, User, Database, Application, Tenant string
	Pattern                                    *regexp.Regexp
}

// FrontQuotas are the parts of limits that are set apart for each front.
type FrontQuotas struct{ PostgreSQL, Flight float64 }

// FlightSettings are the second front's. Listen "" is none.
type FlightSettings struct {
	Listen                                                           string
	TicketLife, SessionRest, KeepAlive, MaxAge                       time.Duration
	MaxTickets, MaxStreams, MaxTransactions, MaxPrepared, MaxWaiting int
}

// PeerSettings are those of talk among dispatchers. Listen "" is none.
type PeerSettings struct {
	Listen, Name string
	Seeds        []string
	Keys         [][]byte
	Rate         int // bytes a second
	Wait         time.Duration
}

// withKeys returns the settings with other keys.
func (p PeerSettings) withKeys(keys [][]byte) PeerSettings {
	p.Keys = keys
	return p
}

// Config is a checked settings file.
type Config struct {
	Path            string
	FrontQuotas     FrontQuotas
	Flight          FlightSettings
	Peers           PeerSettings
	RecordingDir    string // folder; "": nothing is recorded
	RecordingLimits recording.Limits
	// violated invariants are counted, and the act goes through: for the rehearsal kit, whose judge has to
	// see what a decider breaks
	AllowViolations bool
	FlightListener  net.Listener // taken over from a former dispatcher; nil: one is opened
	Listen          string
	MaxClients      int
	StartupTimeout  time.Duration
	HoldBack        int
	HoldBackTotal   int64
	MaxMessage      int
	MaxPending      int
	ClientBuffer    int

	StateDir, PIDFile, HealthAddr, TakeoverSocket string // "": none
	TakingOver                                    bool   // the state folder may be another's yet; not of the file
	// snapshots; end of a drain; a batch of the loop that is trouble
	SnapshotInterval, DrainTimeout, LagLimit time.Duration
	MaxBufferedBytes                         int64 // bytes that wait for clients, beyond which newcomers are refused
	MaxOpenQueries, MaxConnectionsPerUser    int   // queries without an answer; connections; 0: no limit

	Module                                  cresspass.Config
	SessionLimits                           affinity.Limits
	HarmlessFunctions                       []string // functions that leave nothing in a session, lower case
	DefaultClass, WriteClass, DescribeClass string
	Matches                                 []MatchRule

	LogLevel, LogFormat                                string
	DiscoveryAddr, DiscoveryService, EndpointCacheFile string
	EngineUser, EngineDatabase                         string
	MaxConnections, MaxPrepared                        int
	ConnectTimeout, CancelTimeout, IdleTimeout         time.Duration
}

// Overrides holds settings that take the place of a file's, as the command line gives them. Empty ones change
// nothing.
type Overrides struct {
	Listen, DiscoveryAddr, EndpointCacheFile, EngineUser string
	FlightListen                                         string
	StateDir, HealthAddr, TakeoverSocket                 string
	Ordinal                                              int // below 0: the file's
	Gateways                                             int
}

// Apply puts an overlay over a checked file, and checks the outcome.
func (o *Overrides) Apply(cfg *Config) error {
	cfg.Listen, cfg.DiscoveryAddr, cfg.EndpointCacheFile = orDefault(
		o.Listen,
		cfg.Listen,
	), orDefault(
		o.DiscoveryAddr,
		cfg.DiscoveryAddr,
	), orDefault(
		o.EndpointCacheFile,
		cfg.EndpointCacheFile,
	)
	cfg.EngineUser, cfg.Flight.Listen = orDefault(
		o.EngineUser,
		cfg.EngineUser,
	), orDefault(
		o.FlightListen,
		cfg.Flight.Listen,
	)
	cfg.HealthAddr, cfg.TakeoverSocket = orDefault(
		o.HealthAddr,
		cfg.HealthAddr,
	), orDefault(
		o.TakeoverSocket,
		cfg.TakeoverSocket,
	)
	if o.StateDir != "" {
		if cfg.EndpointCacheFile == filepath.Join(cfg.StateDir, "list") || cfg.EndpointCacheFile == "" {
			cfg.EndpointCacheFile = filepath.Join(o.StateDir, "list")
		}
		cfg.StateDir = o.StateDir
	}
	m := &cfg.Module
	if m.GatewayCount = orDefault(o.Gateways, m.GatewayCount); o.Ordinal >= 0 {
		m.Ordinal = o.Ordinal
	}
	if m.Ordinal < 0 || m.Ordinal >= m.GatewayCount {
		return fmt.Errorf("ordinal %d is not within the %d gateways", m.Ordinal, m.GatewayCount)
	}
	if cfg.Flight.Listen != "" {
		if err := CheckLoopback(cfg.Flight.Listen); err != nil {
			return err
		}
	}
	return errors.Join(CheckLoopback(cfg.Listen), CheckLoopback(cfg.DiscoveryAddr))
}

// Compare names the settings that differ between two checked files: those that a running dispatcher can put
// in force, and those that need a restart. The module's own are among the latter: what it has in hand rests
// on them.
func Compare(old, now *Config) (live, restart []string) {
	for _, v := range []struct {
		name string
		same bool
		live bool
	}{
		{"default_class", old.DefaultClass == now.DefaultClass, true}, {"write_class",
			old.WriteClass == now.WriteClass, true},
		{"describe_class", old.DescribeClass == now.DescribeClass, true}, {"match", equalRules(old.Matches,
			now.Matches), true},
		{"max_clients", old.MaxClients == now.MaxClients, true}, {"hold_back", old.HoldBack == now.HoldBack,
			true},
		{"startup_timeout", old.StartupTimeout == now.StartupTimeout, true},
		{"client_buffer", old.ClientBuffer == now.ClientBuffer, true}, {"max_held",
			old.MaxOpenQueries == now.MaxOpenQueries, true},
		{"max_per_user", old.MaxConnectionsPerUser == now.MaxConnectionsPerUser, true},
		{"max_answer_memory", old.MaxBufferedBytes == now.MaxBufferedBytes, true}, {"lag_limit",
			old.LagLimit == now.LagLimit,
			true},
		{"drain_for", old.DrainTimeout == now.DrainTimeout, true}, {"log", old.LogLevel == now.LogLevel, true},
		{"log format", old.LogFormat == now.LogFormat, false}, {"listen", old.Listen == now.Listen, false},
		{"sessions", old.SessionLimits == now.SessionLimits && slices.Equal(old.HarmlessFunctions, now.HarmlessFunctions), false},
		{"hold_back_total", old.HoldBackTotal == now.HoldBackTotal, false},
		{"peers", reflect.DeepEqual(old.Peers.withKeys(now.Peers.Keys), now.Peers), false},
		{"keys of peers", reflect.DeepEqual(old.Peers.Keys, now.Peers.Keys), true},
		{"flight", old.Flight == now.Flight, false},
		{"record", old.RecordingDir == now.RecordingDir && old.RecordingLimits == now.RecordingLimits, false}, {"shares",
			old.FrontQuotas == now.FrontQuotas, true},
		{"max_message", old.MaxMessage == now.MaxMessage, false}, {"max_pending",
			old.MaxPending == now.MaxPending, false},
		{"roster", old.DiscoveryAddr == now.DiscoveryAddr && old.DiscoveryService == now.DiscoveryService && old.EndpointCacheFile == now.EndpointCacheFile, false},
		{"state", old.StateDir == now.StateDir && old.SnapshotInterval == now.SnapshotInterval, false},
		{"pid_file", old.PIDFile == now.PIDFile, false}, {"health", old.HealthAddr == now.HealthAddr, false},
		{"takeover", old.TakeoverSocket == now.TakeoverSocket, false},
		{"engines", old.EngineUser == now.EngineUser && old.EngineDatabase == now.EngineDatabase &&
			old.MaxConnections == now.MaxConnections && old.MaxPrepared == now.MaxPrepared &&
			old.ConnectTimeout == now.ConnectTimeout && old.CancelTimeout == now.CancelTimeout &&
			old.IdleTimeout == now.IdleTimeout, false},
		{"classes, kinds, tenants, rules, limits, ordinal, gateways, zone, seed or tick",
			reflect.DeepEqual(old.Module, now.Module), false},
	} {
		switch {
		case v.same:
		case v.live:
			live = append(live, v.name)
		default:
			restart = append(restart, v.name)
		}
	}
	return live, restart
}

func equalRules(a, b []MatchRule) bool {
	return slices.EqualFunc(a, b, func(x, y MatchRule) bool {
		px, py := x.Pattern, y.Pattern
		x.Pattern, y.Pattern = nil, nil
		return x == y && (px == nil) == (py == nil) && (px == nil || px.String() == py.String())
	})
}

// Load reads and checks a file. The error joins all faults, each with file:line:column.
func Load(path string) (*Config, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse checks a settings file's text.
func Parse(path string, src []byte) (*Config, error) {
	parsed, diags := hclparse.NewParser().ParseHCL(src, path)
	if diags.HasErrors() {
		return nil, diagnosticsError(diags)
	}
	var f File
	if diags = gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, diagnosticsError(diags)
	}
	c := &validator{path: path, body: parsed.Body.(*hclsyntax.Body)}
	cfg := c.build(&f)
	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}
	return cfg, nil
}

func diagnosticsError(diags hcl.Diagnostics) error {
	var errs []error
	for _, d := range diags {
		if d.Severity == hcl.DiagError {
			at := "settings"
			if d.Subject != nil {
				at = fmt.Sprintf("%s:%d:%d", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
			}
			errs = append(errs, fmt.Errorf("%s: %s; %s", at, d.Summary, d.Detail))
		}
	}
	return errors.Join(errs...)
}

type validator struct {
	path string
	body *hclsyntax.Body
	errs []error
}

// position finds where a setting stands: its attribute in the nth block of a type (0: the file itself), else
// the block.
func (c *validator) position(block string, nth int, attribute string) string {
	where, body := c.body.SrcRange, c.body
	if block != "" {
		for _, b := range c.body.Blocks {
			if b.Type == block {
				if nth == 0 {
					where, body = b.DefRange(), b.Body
					break
				}
				nth--
			}
		}
	}
	if a := body.Attributes[attribute]; a != nil {
		where = a.Expr.Range()
	}
	return fmt.Sprintf("%s:%d:%d", c.path, where.Start.Line, where.Start.Column)
}

func (c *validator) errorf(block string, nth int, attribute, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.position(block, nth, attribute), attribute,
		fmt.Sprintf(format, args...)))
}

func (c *validator) duration(block string, nth int, attribute, v string,
	defaultValue time.Duration) time.Duration {
	if v == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		c.errorf(block, nth, attribute, "%q is no time such as \"1.5s\"", v)
		return defaultValue
	}
	return d
}

func oneOf[T any](c *validator, block string, nth int, attribute, v string, of map[string]T) (t T) {
	t, ok := of[v]
	if !ok {
		var names []string
		for name := range of {
			if name != "" {
				names = append(names, name)
			}
		}
		c.errorf(block, nth, attribute, "%q is none of %s", v,
			strings.Join(slices.Sorted(slices.Values(names)), ", "))
	}
	return t
}

// CheckLoopback returns an error unless an address is host:port on the loopback interface.
func CheckLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not on the loopback interface; no other address is served", addr)
	}
	return nil
}

func orDefault[T comparable](v, defaultValue T) T {
	var zero T
	if v == zero {
		return defaultValue
	}
	return v
}

func (c *validator) nonNegative(attribute string, v, defaultValue int) int {
	if v < 0 {
		c.errorf("", 0, attribute, "%d is negative", v)
	}
	return orDefault(v, defaultValue)
}

func (c *validator) build(f *File) *Config {
	cfg := &Config{Path: c.path, Listen: orDefault(f.Listen, "127.0.0.1:6432"),
		MaxClients: c.nonNegative("max_clients", f.MaxClients, 10000), HoldBack: c.nonNegative("hold_back",
			f.HoldBack, 16<<10),
		HoldBackTotal: int64(c.nonNegative("hold_back_total", f.HoldBackTotal, 64<<20)),
		MaxMessage:    c.nonNegative("max_message", f.MaxMessage, 16<<20),
		MaxPending:    c.nonNegative("max_pending", f.MaxPending, 1<<20),
		ClientBuffer:  c.nonNegative("client_buffer", f.ClientBuffer, 256<<10),
		DefaultClass:  f.DefaultClass, WriteClass: f.WriteClass, DescribeClass: orDefault(f.DescribeClass,
			f.DefaultClass)}
	if err := CheckLoopback(cfg.Listen); err != nil {
		c.errorf("", 0, "listen", "%v", err)
	}
	if err := CheckLoopback(f.Health); f.Health != "" && err != nil {
		c.errorf("", 0, "health", "%v", err)
	}
	cfg.StateDir, cfg.PIDFile, cfg.HealthAddr, cfg.TakeoverSocket = f.State, f.PidFile, f.Health, f.Takeover
	cfg.SnapshotInterval = c.duration("", 0, "state_every", f.StateEvery, 10*time.Second)
	cfg.DrainTimeout = c.duration("", 0, "drain_for", f.DrainFor, 30*time.Second)
	cfg.LagLimit = c.duration("", 0, "lag_limit", f.LagLimit, 50*time.Millisecond)
	cfg.MaxBufferedBytes = int64(c.nonNegative("max_answer_memory", f.MaxAnswers, 1<<30))
	cfg.MaxOpenQueries, cfg.MaxConnectionsPerUser = c.nonNegative(
		"max_held",
		f.MaxHeld,
		0,
	), c.nonNegative(
		"max_per_user",
		f.MaxPerUser,
		0,
	)
	cfg.StartupTimeout = c.duration("", 0, "startup_timeout", f.StartupTimeout, 10*time.Second)
	m := &cfg.Module
	m.Seed, m.Ordinal, m.GatewayCount, m.Zone = uint64(f.Seed), f.Ordinal, orDefault(f.Gateways, 1), f.Zone
	m.BatchInterval = c.duration("", 0, "tick", f.Tick, 5*time.Millisecond)
	if m.GatewayCount < 1 || m.Ordinal < 0 || m.Ordinal >= m.GatewayCount {
		c.errorf("", 0, "ordinal", "%d is not within the %d gateways", m.Ordinal, m.GatewayCount)
	}
	m.MayCancel, m.MaySendRetryAfter = true, true
	c.applyLog(cfg, f.Log)
	c.applyRoster(cfg, f.Roster)
	c.applyEngines(cfg, f.Engines)
	c.applyRules(m, f.Rules)
	c.applyLimits(m, f.Limits)
	if p := f.Sessions; p != nil {
		cfg.SessionLimits = affinity.Limits{
			IdleInTransaction: c.duration("sessions", 0, "idle_in_transaction", p.IdleInTx, 0),
			MaxAge:            c.duration("sessions", 0, "max_age", p.MaxAge, 0),
			MaxTotal:          p.Max,
			MaxPerUser:        p.PerUser,
		}
		if p.Max < 0 || p.PerUser < 0 || p.PerEngine < 0 {
			c.errorf("sessions", 0, "max", "is negative")
		}
		m.MaxSessionsPerEngine = p.PerEngine
		for _, pattern := range p.Harmless {
			if _, err := path.Match(pattern, ""); err != nil {
				c.errorf("sessions", 0, "harmless", "%q is no pattern: %v", pattern, err)
			}
			cfg.HarmlessFunctions = append(cfg.HarmlessFunctions, strings.ToLower(pattern))
		}
	}
	c.applyFlight(cfg, f)
	c.applyPeers(cfg, f.Peers)
	if r := f.Record; r != nil {
		cfg.RecordingDir = r.Dir
		cfg.RecordingLimits = recording.Limits{FileBytes: int64(c.nonNegative("file_mb", r.FileMB, 64)) << 20,
			TotalBytes: int64(c.nonNegative("total_mb", r.TotalMB, 1024)) << 20}
		if cfg.RecordingLimits.TotalBytes < 2*cfg.RecordingLimits.FileBytes {
			c.errorf("record", 0, "total_mb", "less than two files: %d MB each", cfg.RecordingLimits.FileBytes>>20)
		}
	}
	kinds := map[string]bool{}
	for i, k := range f.Kinds {
		if kinds[k.Name] {
			c.errorf("kind", i, "kind", "%q given twice", k.Name)
		}
		if k.Cores <= 0 {
			c.errorf("kind", i, "cores", "must be above 0")
		}
		if k.MemoryMB < 0 {
			c.errorf("kind", i, "memory_mb", "is negative")
		}
		kinds[k.Name] = true
		m.KindNames = append(m.KindNames, k.Name)
		m.KindCores = append(m.KindCores, k.Cores)
		m.KindMemoryMB = append(m.KindMemoryMB, k.MemoryMB)
	}
	for i := range f.Classes {
		c.applyClass(m, f, i, kinds)
	}
	for i, t := range f.Tenants {
		if t.Quota < 0 || t.Share < 0 {
			c.errorf("tenant", i, "quota", "is negative")
		}
		m.Tenants = append(m.Tenants, cresspass.Tenant{Name: t.Name, QuotaPerSecond: t.Quota, Share: t.Share})
	}
	c.applyMatches(cfg, f)
	if len(c.errs) == 0 {
		if err := m.Validate(); err != nil {
			c.errs = append(c.errs, fmt.Errorf("%s: %w", c.path, err))
		}
	}
	return cfg
}

// applyPeers reads the settings of talk among dispatchers. Without the block there is none.
func (c *validator) applyPeers(cfg *Config, p *PeersBlock) {
	if p == nil {
		return
	}
	out := &cfg.Peers
	out.Listen, out.Seeds = p.Listen, p.Seeds
	out.Name = orDefault(p.Name, fmt.Sprintf("cresspass-%d", cfg.Module.Ordinal))
	out.Rate = c.nonNegative("peers", p.Rate, 50000)
	out.Wait = c.duration("peers", 0, "wait", p.Wait, time.Second)
	for _, addr := range append([]string{p.Listen}, p.Seeds...) {
		if err := CheckLoopback(addr); err != nil {
			c.errorf("peers", 0, "listen", "%v", err)
		}
	}
	for i, k := range p.Keys {
		b, err := hex.DecodeString(k)
		if n := len(b); err != nil || n != 16 && n != 24 && n != 32 {
			c.errorf("peers", 0, "keys", "key %d is not 16, 24 or 32 bytes in hexadecimal", i+1)
			continue
		}
		out.Keys = append(out.Keys, b)
	}
	if len(p.Keys) == 0 {
		c.errorf("peers", 0, "keys", "none is given")
	}
	cfg.Module.MayGossip = true
}

// applyFlight reads the second front's settings. Without the block there is none.
func (c *validator) applyFlight(cfg *Config, f *File) {
	p := f.Flight
	if p == nil {
		p = &FlightBlock{}
	} else if CheckLoopback(p.Listen) != nil {
		c.errorf("flight", 0, "listen", "%v", CheckLoopback(p.Listen))
	}
	if s := f.Shares; s != nil {
		if s.PostgreSQL < 0 || s.Flight < 0 || s.PostgreSQL+s.Flight > 1 {
			c.errorf("shares", 0, "postgresql", "shares are from 0 to 1, and together 1 at most")
		}
		cfg.FrontQuotas = FrontQuotas{s.PostgreSQL, s.Flight}
	} else {
		cfg.FrontQuotas = FrontQuotas{0.25, 0.25}
	}
	out := &cfg.Flight
	out.Listen = p.Listen
	out.TicketLife = c.duration("flight", 0, "ticket_life", p.TicketLife, time.Minute)
	out.SessionRest = c.duration("flight", 0, "session_rest", p.SessionRest, 30*time.Minute)
	out.KeepAlive = c.duration("flight", 0, "keep_alive", p.KeepAlive, 2*time.Minute)
	out.MaxAge = c.duration("flight", 0, "max_connection_age", p.MaxAge, 0)
	for _, v := range []struct {
		name      string
		given     int
		otherwise int
		to        *int
	}{{"max_tickets", p.MaxTickets, 100000, &out.MaxTickets}, {"max_streams", p.MaxStreams, 2000,
		&out.MaxStreams},
		{"max_transactions", p.MaxTransactions, 100, &out.MaxTransactions},
		{"max_prepared", p.MaxPrepared, 1000, &out.MaxPrepared},
		{"max_waiting", p.MaxWaiting, 1000, &out.MaxWaiting}} {
		if v.given < 0 {
			c.errorf("flight", 0, v.name, "%d is negative", v.given)
		}
		*v.to = orDefault(v.given, v.otherwise)
	}
}

func (c *validator) applyLog(cfg *Config, l *LogBlock) {
	if l == nil {
		l = &LogBlock{}
	}
	cfg.LogLevel, cfg.LogFormat = orDefault(l.Level, "info"), orDefault(l.Format, "text")
	oneOf(c, "log", 0, "level", cfg.LogLevel, map[string]int{"debug": 0, "info": 0, "warn": 0, "error": 0})
	oneOf(c, "log", 0, "format", cfg.LogFormat, map[string]int{"text": 0, "json": 0})
}

func (c *validator) applyRoster(cfg *Config, r *RosterBlock) {
	if r == nil {
		c.errorf("", 0, "roster", "a block roster { eds = \"host:port\" } is wanted")
		return
	}
	cfg.DiscoveryAddr, cfg.DiscoveryService, cfg.EndpointCacheFile = r.EDS, orDefault(
		r.Service,
		"engines",
	), r.Cache
	if cfg.EndpointCacheFile == "" && cfg.StateDir != "" {
		cfg.EndpointCacheFile = filepath.Join(cfg.StateDir, "list")
	}
	if err := CheckLoopback(r.EDS); err != nil {
		c.errorf("roster", 0, "eds", "%v", err)
	}
}

func (c *validator) applyEngines(cfg *Config, e *EnginesBlock) {
	if e == nil {
		e = &EnginesBlock{}
	}
	m := &cfg.Module
	cfg.EngineUser, cfg.EngineDatabase = orDefault(e.User, "cresspass"), orDefault(e.Database, "cresspass")
	cfg.MaxConnections, cfg.MaxPrepared = orDefault(e.MaxConnections, 100), orDefault(e.MaxPrepared, 200)
	if e.MaxConnections < 0 || e.MaxPrepared < 0 {
		c.errorf("engines", 0, "max_connections", "is negative")
	}
	cfg.ConnectTimeout = c.duration("engines", 0, "connect_timeout", e.ConnectTimeout, time.Second)
	cfg.CancelTimeout = c.duration("engines", 0, "cancel_timeout", e.CancelTimeout, 2*time.Second)
	cfg.IdleTimeout = c.duration("engines", 0, "idle_timeout", e.IdleTimeout, time.Minute)
	m.AcceptsMemoryGrants, m.AcceptsPriority, m.MaxGrantShare, m.MayCheckHealth = e.TakesGrants, e.TakesPriority,
		e.MaxGrantShare, e.MayProbe
	m.ProgressInterval = c.duration("engines", 0, "progress_every", e.ProgressEvery, 0)
	m.LoadReportFields = e.ReportFields
	m.OnMemoryShortage = oneOf(c, "engines", 0, "when_short", e.WhenShort,
		map[string]cresspass.MemoryShortage{"": cresspass.ShortageUnknown,
			"wait": cresspass.ShortageQueues, "shrink": cresspass.ShortageShrinksGrant,
			"page": cresspass.ShortagePages})
	for _, name := range e.ReportFields {
		if strings.ContainsAny(name, ", ") || name == "" {
			c.errorf("engines", 0, "report_fields", "%q is no name", name)
		}
	}
}

func (c *validator) applyRules(m *cresspass.Config, r *RulesBlock) {
	if r == nil {
		r = &RulesBlock{}
	}
	d := func(name, v string, defaultValue time.Duration) time.Duration {
		return c.duration("rules", 0, name, v, defaultValue)
	}
	m.Rules = cresspass.Rules{AnswerGrace: d("answer_grace", r.AnswerGrace, 250*time.Millisecond),
		DrainGrace: d("drain_grace", r.DrainGrace, 2*time.Second), SlowStartFrom: r.ColdFrom,
		SlowStartDuration:       d("cold_for", r.ColdFor, 0),
		SlowStartOverloadFactor: r.ColdMultiple, SlowStartWindow: d("cold_window", r.ColdWindow, 0),
		OrderSettleDelay: d("order_rest", r.OrderRest, 500*time.Millisecond), RetryBudgetRatio: r.BudgetShare}
	if r.ColdFrom < 0 || r.ColdFrom > 1 {
		c.errorf("rules", 0, "cold_from", "must be within 0 and 1")
	}
	if r.BudgetFree != nil {
		m.Rules.HasRetryBudget, m.Rules.RetryBudgetFree = true, *r.BudgetFree
		m.Rules.RetryBudgetWindow = d("budget_look_back", r.BudgetLookBack, 10*time.Second)
	} else if r.BudgetShare > 0 || r.BudgetLookBack != "" {
		c.errorf("rules", 0, "budget_share", "without budget_free there is no budget")
	}
}

func (c *validator) applyLimits(m *cresspass.Config, l *LimitsBlock) {
	if l == nil {
		l = &LimitsBlock{}
	}
	if l.MaxAttempts < 0 {
		c.errorf("limits", 0, "max_attempts", "is negative")
	}
	m.MaxAttempts = orDefault(l.MaxAttempts, 4)
	m.MaxRetryAfter = c.duration("limits", 0, "max_come_back", l.MaxComeBack, time.Second)
}

func (c *validator) applyClass(m *cresspass.Config, f *File, i int, kinds map[string]bool) {
	k := &f.Classes[i]
	for j := range f.Classes[:i] {
		if f.Classes[j].Name == k.Name {
			c.errorf("class", i, "class", "%q given twice", k.Name)
		}
	}
	out := cresspass.Class{
		Name:             k.Name,
		LatencyObjective: c.duration("class", i, "aim", k.LatencyObjective, 0),
		ObjectiveStretch: k.ObjectiveStretch,
		Deadline: c.duration(
			"class",
			i,
			"deadline",
			k.Deadline,
			0,
		),
		PriorityWeight:  orDefault(k.PriorityWeight, 1),
		LateAnswerValue: k.LateValue,
		DeduplicationWindow: c.duration(
			"class",
			i,
			"window",
			k.Window,
			0,
		),
		OrderedByKey: k.InOrder,
		AllowedKinds: k.OnKinds,
		AllowedZones: k.InZones,
	}
	out.Effect = oneOf(
		c,
		"class",
		i,
		"effect",
		k.Effect,
		map[string]cresspass.Effect{"safe": cresspass.Idempotent,
			"keyed": cresspass.IdempotentWithKey, "unsafe": cresspass.NotIdempotent},
	)
	out.DeduplicationScope = oneOf(
		c,
		"class",
		i,
		"scope",
		k.Scope,
		map[string]cresspass.DeduplicationScope{"": cresspass.ScopeAll,
			"all": cresspass.ScopeAll, "zone": cresspass.ScopeZone, "cell": cresspass.ScopeCell},
	)
	if out.Deadline <= 0 {
		c.errorf("class", i, "deadline", "must be above 0")
	}
	if out.Effect == cresspass.IdempotentWithKey && out.DeduplicationWindow <= 0 {
		c.errorf("class", i, "window", "a keyed class needs the time for which engines drop repeats")
	}
	if k.Threads < 0 || k.PriorityWeight < 0 || k.LateValue < 0 || k.ObjectiveStretch < 0 {
		c.errorf("class", i, "threads", "a figure is negative")
	}
	for _, name := range k.OnKinds {
		if !kinds[name] {
			c.errorf("class", i, "on_kinds", "there is no kind %q", name)
		}
	}
	m.Classes = append(m.Classes, out)
	m.ClassThreads = append(m.ClassThreads, orDefault(k.Threads, 1))
	m.ClassIsBulkLoad = append(m.ClassIsBulkLoad, k.Loads)
	m.ClassWaitsForBulkLoad = append(m.ClassWaitsForBulkLoad, k.Waits)
}

// applyMatches checks what names a class.
func (c *validator) applyMatches(cfg *Config, f *File) {
	effects := map[string]cresspass.Effect{}
	for _, k := range cfg.Module.Classes {
		effects[k.Name] = k.Effect
	}
	for _, v := range [][2]string{{"default_class", cfg.DefaultClass}, {"write_class", cfg.WriteClass},
		{"describe_class", cfg.DescribeClass}} {
		if _, ok := effects[v[1]]; v[1] != "" && !ok {
			c.errorf("", 0, v[0], "there is no class %q", v[1])
		}
	}
	if cfg.WriteClass != "" && effects[cfg.WriteClass] == cresspass.Idempotent {
		c.errorf("", 0, "write_class", "class %q is safe to repeat; statements that write are not",
			cfg.WriteClass)
	}
	if effects[cfg.DescribeClass] != cresspass.Idempotent {
		c.errorf("", 0, "describe_class", "class %q is not safe to repeat", cfg.DescribeClass)
	}
	tenants := map[string]bool{}
	for _, t := range f.Tenants {
		tenants[t.Name] = true
	}
	for i, v := range f.Matches {
		r := MatchRule{Class: v.Class, User: v.User, Database: v.Database, Application: v.Application,
			Tenant: v.Tenant}
		if _, ok := effects[v.Class]; v.Class != "" && !ok {
			c.errorf("match", i, "class", "there is no class %q", v.Class)
		}
		if v.Class == "" && v.Tenant == "" {
			c.errorf("match", i, "class", "a match names a class, a tenant, or both")
		}
		if v.Tenant != "" && !tenants[v.Tenant] {
			c.errorf("match", i, "tenant", "there is no tenant %q", v.Tenant)
		}
		if v.Pattern != "" {
			var err error
			if r.Pattern, err = regexp.Compile(v.Pattern); err != nil {
				c.errorf("match", i, "pattern", "%v", err)
			}
		}
		cfg.Matches = append(cfg.Matches, r)
	}
}
