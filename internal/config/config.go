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

	Log     *Log     `hcl:"log,block"`
	Roster  *Roster  `hcl:"roster,block"`
	Engines *Engines `hcl:"engines,block"`
	Rules   *Rules   `hcl:"rules,block"`
	Limits  *Limits  `hcl:"limits,block"`
	Session *Session `hcl:"sessions,block"`
	Flight  *Flight  `hcl:"flight,block"`
	Shares  *Shares  `hcl:"shares,block"`
	Peers   *Peers   `hcl:"peers,block"`
	Record  *Record  `hcl:"record,block"`
	Classes []Class  `hcl:"class,block"`
	Kinds   []Kind   `hcl:"kind,block"`
	Tenants []Tenant `hcl:"tenant,block"`
	Matches []Match  `hcl:"match,block"`
}

// Log says how logs are written.
type Log struct {
	Level  string `hcl:"level,optional"`
	Format string `hcl:"format,optional"`
}

// Roster says where the engine list comes from.
type Roster struct {
	EDS     string `hcl:"eds"`
	Service string `hcl:"service,optional"`
	Cache   string `hcl:"cache,optional"`
}

// Engines says how engines are reached and what they heed and tell.
type Engines struct {
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

// Rules holds the figures of the rules.
type Rules struct {
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

// Limits holds what a query may cost.
type Limits struct {
	MaxAttempts int    `hcl:"max_attempts,optional"`
	MaxComeBack string `hcl:"max_come_back,optional"`
}

// Session bounds the sessions that are kept on engines.
type Flight struct {
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

// Peers has dispatchers talk.
type Peers struct {
	Listen string   `hcl:"listen"`
	Name   string   `hcl:"name,optional"`
	Seeds  []string `hcl:"seeds,optional"`
	Keys   []string `hcl:"keys"` // hexadecimal; all are accepted, the first is used
	Rate   int      `hcl:"rate,optional"`
	Wait   string   `hcl:"wait,optional"` // for what others have learnt, at the start
}

// Record has what was taken written to a folder.
type Record struct {
	Dir     string `hcl:"dir"`
	FileMB  int    `hcl:"file_mb,optional"`
	TotalMB int    `hcl:"total_mb,optional"`
}

// Shares are the parts of each limit (connections, held queries, bytes of answers) that are set apart for a
// front.
type Shares struct {
	PostgreSQL float64 `hcl:"postgresql,optional"`
	Flight     float64 `hcl:"flight,optional"`
}

// Session bounds the sessions that are kept on engines.
type Session struct {
	IdleInTx string `hcl:"idle_in_transaction,optional"`
	MaxAge   string `hcl:"max_age,optional"`
	Max      int    `hcl:"max,optional"`
	PerUser  int    `hcl:"max_per_user,optional"`

	PerEngine int      `hcl:"max_per_engine,optional"`
	Harmless  []string `hcl:"harmless,optional"` // functions that leave nothing, as patterns: "geo_*"
}

// Class is a class of query.
type Class struct {
	Name       string   `hcl:"name,label"`
	Aim        string   `hcl:"aim"`
	AimStretch float64  `hcl:"aim_stretch,optional"`
	Deadline   string   `hcl:"deadline"`
	Worth      float64  `hcl:"worth,optional"`
	LateValue  float64  `hcl:"late_value,optional"`
	Effect     string   `hcl:"effect"`
	Scope      string   `hcl:"scope,optional"`
	Window     string   `hcl:"window,optional"`
	InOrder    bool     `hcl:"in_order,optional"`
	OnKinds    []string `hcl:"on_kinds,optional"`
	InZones    []string `hcl:"in_zones,optional"`
	Threads    float64  `hcl:"threads,optional"`
	Loads      bool     `hcl:"loads,optional"`
	Waits      bool     `hcl:"waits,optional"`
}

// Kind is a kind of machine.
type Kind struct {
	Name     string  `hcl:"name,label"`
	Cores    float64 `hcl:"cores"`
	MemoryMB float64 `hcl:"memory_mb,optional"`
}

// Tenant is a client with a share of the service.
type Tenant struct {
	Name  string  `hcl:"name,label"`
	Quota float64 `hcl:"quota"`
	Share float64 `hcl:"share,optional"`
}

// Match gives statements a class, where all that it names fits. The first that fits counts.
type Match struct {
	Class       string `hcl:"class,optional"`
	User        string `hcl:"user,optional"`
	Database    string `hcl:"database,optional"`
	Application string `hcl:"application_name,optional"`
	Pattern     string `hcl:"pattern,optional"`
	Tenant      string `hcl:"tenant,optional"`
}

// Rule is a Match that was checked.
type Rule struct {
	Class, User, Database, Application, Tenant string
	Pattern                                    *regexp.Regexp
}

// FrontShares are the parts of limits that are set apart for each front.
type FrontShares struct{ PostgreSQL, Flight float64 }

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

// but returns the settings with other keys.
func (p PeerSettings) but(keys [][]byte) PeerSettings {
	p.Keys = keys
	return p
}

// Config is a checked settings file.
type Config struct {
	Path         string
	Shares       FrontShares
	Flight       FlightSettings
	Peers        PeerSettings
	Record       string // folder; "": nothing is recorded
	RecordLimits recording.Limits
	// violated invariants are counted, and the act goes through: for the rehearsal kit, whose judge has to
	// see what a decider breaks
	Unguarded      bool
	FlightListener net.Listener // taken over from a former dispatcher; nil: one is opened
	Listen         string
	MaxClients     int
	StartupTimeout time.Duration
	HoldBack       int
	HoldBackTotal  int64
	MaxMessage     int
	MaxPending     int
	ClientBuffer   int

	State, PidFile, Health, Takeover string // "": none
	Heir                             bool   // the state folder may be another's yet; not of the file
	// snapshots; end of a drain; a batch of the loop that is trouble
	StateEvery, DrainFor, LagLimit time.Duration
	MaxAnswers                     int64 // bytes that wait for clients, beyond which newcomers are refused
	MaxHeld, MaxPerUser            int   // queries without an answer; connections; 0: no limit

	Module                                  cresspass.Config
	Pins                                    affinity.Limits
	Harmless                                []string // functions that leave nothing in a session, lower case
	DefaultClass, WriteClass, DescribeClass string
	Matches                                 []Rule

	LogLevel, LogFormat                        string
	EDS, Service, Cache                        string
	EngineUser, EngineDatabase                 string
	MaxConnections, MaxPrepared                int
	ConnectTimeout, CancelTimeout, IdleTimeout time.Duration
}

// Overlay holds settings that take the place of a file's, as the command line gives them. Empty ones change
// nothing.
type Overlay struct {
	Listen, EDS, Cache, EngineUser string
	Flight                         string
	State, Health, Takeover        string
	Ordinal                        int // below 0: the file's
	Gateways                       int
}

// Apply puts an overlay over a checked file, and checks the outcome.
func (o *Overlay) Apply(cfg *Config) error {
	cfg.Listen, cfg.EDS, cfg.Cache = or(o.Listen, cfg.Listen), or(o.EDS, cfg.EDS), or(o.Cache, cfg.Cache)
	cfg.EngineUser, cfg.Flight.Listen = or(o.EngineUser, cfg.EngineUser), or(o.Flight, cfg.Flight.Listen)
	cfg.Health, cfg.Takeover = or(o.Health, cfg.Health), or(o.Takeover, cfg.Takeover)
	if o.State != "" {
		if cfg.Cache == filepath.Join(cfg.State, "list") || cfg.Cache == "" {
			cfg.Cache = filepath.Join(o.State, "list")
		}
		cfg.State = o.State
	}
	m := &cfg.Module
	if m.Gateways = or(o.Gateways, m.Gateways); o.Ordinal >= 0 {
		m.Ordinal = o.Ordinal
	}
	if m.Ordinal < 0 || m.Ordinal >= m.Gateways {
		return fmt.Errorf("ordinal %d is not within the %d gateways", m.Ordinal, m.Gateways)
	}
	if cfg.Flight.Listen != "" {
		if err := Loopback(cfg.Flight.Listen); err != nil {
			return err
		}
	}
	return errors.Join(Loopback(cfg.Listen), Loopback(cfg.EDS))
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
		{"describe_class", old.DescribeClass == now.DescribeClass, true}, {"match", sameRules(old.Matches,
			now.Matches), true},
		{"max_clients", old.MaxClients == now.MaxClients, true}, {"hold_back", old.HoldBack == now.HoldBack,
			true},
		{"startup_timeout", old.StartupTimeout == now.StartupTimeout, true},
		{"client_buffer", old.ClientBuffer == now.ClientBuffer, true}, {"max_held",
			old.MaxHeld == now.MaxHeld, true},
		{"max_per_user", old.MaxPerUser == now.MaxPerUser, true},
		{"max_answer_memory", old.MaxAnswers == now.MaxAnswers, true}, {"lag_limit",
			old.LagLimit == now.LagLimit,
			true},
		{"drain_for", old.DrainFor == now.DrainFor, true}, {"log", old.LogLevel == now.LogLevel, true},
		{"log format", old.LogFormat == now.LogFormat, false}, {"listen", old.Listen == now.Listen, false},
		{"sessions", old.Pins == now.Pins && slices.Equal(old.Harmless, now.Harmless), false},
		{"hold_back_total", old.HoldBackTotal == now.HoldBackTotal, false},
		{"peers", reflect.DeepEqual(old.Peers.but(now.Peers.Keys), now.Peers), false},
		{"keys of peers", reflect.DeepEqual(old.Peers.Keys, now.Peers.Keys), true},
		{"flight", old.Flight == now.Flight, false},
		{"record", old.Record == now.Record && old.RecordLimits == now.RecordLimits, false}, {"shares",
			old.Shares == now.Shares, true},
		{"max_message", old.MaxMessage == now.MaxMessage, false}, {"max_pending",
			old.MaxPending == now.MaxPending, false},
		{"roster", old.EDS == now.EDS && old.Service == now.Service && old.Cache == now.Cache, false},
		{"state", old.State == now.State && old.StateEvery == now.StateEvery, false},
		{"pid_file", old.PidFile == now.PidFile, false}, {"health", old.Health == now.Health, false},
		{"takeover", old.Takeover == now.Takeover, false},
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

func sameRules(a, b []Rule) bool {
	return slices.EqualFunc(a, b, func(x, y Rule) bool {
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
		return nil, faults(diags)
	}
	var f File
	if diags = gohcl.DecodeBody(parsed.Body, nil, &f); diags.HasErrors() {
		return nil, faults(diags)
	}
	c := &checker{path: path, body: parsed.Body.(*hclsyntax.Body)}
	cfg := c.build(&f)
	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}
	return cfg, nil
}

func faults(diags hcl.Diagnostics) error {
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

type checker struct {
	path string
	body *hclsyntax.Body
	errs []error
}

// at finds where a setting stands: its attribute in the nth block of a type (0: the file itself), else the
// block.
func (c *checker) at(block string, nth int, attribute string) string {
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

func (c *checker) fault(block string, nth int, attribute, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s: %s", c.at(block, nth, attribute), attribute,
		fmt.Sprintf(format, args...)))
}

func (c *checker) duration(block string, nth int, attribute, v string,
	otherwise time.Duration) time.Duration {
	if v == "" {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		c.fault(block, nth, attribute, "%q is no time such as \"1.5s\"", v)
		return otherwise
	}
	return d
}

func pick[T any](c *checker, block string, nth int, attribute, v string, of map[string]T) (t T) {
	t, ok := of[v]
	if !ok {
		var names []string
		for name := range of {
			if name != "" {
				names = append(names, name)
			}
		}
		c.fault(block, nth, attribute, "%q is none of %s", v,
			strings.Join(slices.Sorted(slices.Values(names)), ", "))
	}
	return t
}

// Loopback returns an error unless an address is host:port on the loopback interface.
func Loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%s is not on the loopback interface; no other address is served", addr)
	}
	return nil
}

func or[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

func (c *checker) positive(attribute string, v, otherwise int) int {
	if v < 0 {
		c.fault("", 0, attribute, "%d is negative", v)
	}
	return or(v, otherwise)
}

func (c *checker) build(f *File) *Config {
	cfg := &Config{Path: c.path, Listen: or(f.Listen, "127.0.0.1:6432"),
		MaxClients: c.positive("max_clients", f.MaxClients, 10000), HoldBack: c.positive("hold_back",
			f.HoldBack, 16<<10),
		HoldBackTotal: int64(c.positive("hold_back_total", f.HoldBackTotal, 64<<20)),
		MaxMessage:    c.positive("max_message", f.MaxMessage, 16<<20),
		MaxPending:    c.positive("max_pending", f.MaxPending, 1<<20),
		ClientBuffer:  c.positive("client_buffer", f.ClientBuffer, 256<<10),
		DefaultClass:  f.DefaultClass, WriteClass: f.WriteClass, DescribeClass: or(f.DescribeClass,
			f.DefaultClass)}
	if err := Loopback(cfg.Listen); err != nil {
		c.fault("", 0, "listen", "%v", err)
	}
	if err := Loopback(f.Health); f.Health != "" && err != nil {
		c.fault("", 0, "health", "%v", err)
	}
	cfg.State, cfg.PidFile, cfg.Health, cfg.Takeover = f.State, f.PidFile, f.Health, f.Takeover
	cfg.StateEvery = c.duration("", 0, "state_every", f.StateEvery, 10*time.Second)
	cfg.DrainFor = c.duration("", 0, "drain_for", f.DrainFor, 30*time.Second)
	cfg.LagLimit = c.duration("", 0, "lag_limit", f.LagLimit, 50*time.Millisecond)
	cfg.MaxAnswers = int64(c.positive("max_answer_memory", f.MaxAnswers, 1<<30))
	cfg.MaxHeld, cfg.MaxPerUser = c.positive("max_held", f.MaxHeld, 0), c.positive("max_per_user",
		f.MaxPerUser, 0)
	cfg.StartupTimeout = c.duration("", 0, "startup_timeout", f.StartupTimeout, 10*time.Second)
	m := &cfg.Module
	m.Seed, m.Ordinal, m.Gateways, m.Zone = uint64(f.Seed), f.Ordinal, or(f.Gateways, 1), f.Zone
	m.Tick = c.duration("", 0, "tick", f.Tick, 5*time.Millisecond)
	if m.Gateways < 1 || m.Ordinal < 0 || m.Ordinal >= m.Gateways {
		c.fault("", 0, "ordinal", "%d is not within the %d gateways", m.Ordinal, m.Gateways)
	}
	m.MayCancel, m.MayComeBack = true, true
	c.log(cfg, f.Log)
	c.roster(cfg, f.Roster)
	c.engines(cfg, f.Engines)
	c.rules(m, f.Rules)
	c.limits(m, f.Limits)
	if p := f.Session; p != nil {
		cfg.Pins = affinity.Limits{IdleInTx: c.duration("sessions", 0, "idle_in_transaction", p.IdleInTx, 0),
			Age: c.duration("sessions", 0, "max_age", p.MaxAge, 0), Total: p.Max, PerUser: p.PerUser}
		if p.Max < 0 || p.PerUser < 0 || p.PerEngine < 0 {
			c.fault("sessions", 0, "max", "is negative")
		}
		m.MaxSessions = p.PerEngine
		for _, pattern := range p.Harmless {
			if _, err := path.Match(pattern, ""); err != nil {
				c.fault("sessions", 0, "harmless", "%q is no pattern: %v", pattern, err)
			}
			cfg.Harmless = append(cfg.Harmless, strings.ToLower(pattern))
		}
	}
	c.flight(cfg, f)
	c.peers(cfg, f.Peers)
	if r := f.Record; r != nil {
		cfg.Record = r.Dir
		cfg.RecordLimits = recording.Limits{File: int64(c.positive("file_mb", r.FileMB, 64)) << 20,
			Total: int64(c.positive("total_mb", r.TotalMB, 1024)) << 20}
		if cfg.RecordLimits.Total < 2*cfg.RecordLimits.File {
			c.fault("record", 0, "total_mb", "less than two files: %d MB each", cfg.RecordLimits.File>>20)
		}
	}
	kinds := map[string]bool{}
	for i, k := range f.Kinds {
		if kinds[k.Name] {
			c.fault("kind", i, "kind", "%q given twice", k.Name)
		}
		if k.Cores <= 0 {
			c.fault("kind", i, "cores", "must be above 0")
		}
		if k.MemoryMB < 0 {
			c.fault("kind", i, "memory_mb", "is negative")
		}
		kinds[k.Name] = true
		m.KindNames = append(m.KindNames, k.Name)
		m.KindCores = append(m.KindCores, k.Cores)
		m.KindMemoryMB = append(m.KindMemoryMB, k.MemoryMB)
	}
	for i := range f.Classes {
		c.class(m, f, i, kinds)
	}
	for i, t := range f.Tenants {
		if t.Quota < 0 || t.Share < 0 {
			c.fault("tenant", i, "quota", "is negative")
		}
		m.Tenants = append(m.Tenants, cresspass.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Share})
	}
	c.classes(cfg, f)
	if len(c.errs) == 0 {
		if err := m.Validate(); err != nil {
			c.errs = append(c.errs, fmt.Errorf("%s: %w", c.path, err))
		}
	}
	return cfg
}

// peers reads the settings of talk among dispatchers. Without the block there is none.
func (c *checker) peers(cfg *Config, p *Peers) {
	if p == nil {
		return
	}
	out := &cfg.Peers
	out.Listen, out.Seeds = p.Listen, p.Seeds
	out.Name = or(p.Name, fmt.Sprintf("cresspass-%d", cfg.Module.Ordinal))
	out.Rate = c.positive("peers", p.Rate, 50000)
	out.Wait = c.duration("peers", 0, "wait", p.Wait, time.Second)
	for _, addr := range append([]string{p.Listen}, p.Seeds...) {
		if err := Loopback(addr); err != nil {
			c.fault("peers", 0, "listen", "%v", err)
		}
	}
	for i, k := range p.Keys {
		b, err := hex.DecodeString(k)
		if n := len(b); err != nil || n != 16 && n != 24 && n != 32 {
			c.fault("peers", 0, "keys", "key %d is not 16, 24 or 32 bytes in hexadecimal", i+1)
			continue
		}
		out.Keys = append(out.Keys, b)
	}
	if len(p.Keys) == 0 {
		c.fault("peers", 0, "keys", "none is given")
	}
	cfg.Module.MayTell = true
}

// flight reads the second front's settings. Without the block there is none.
func (c *checker) flight(cfg *Config, f *File) {
	p := f.Flight
	if p == nil {
		p = &Flight{}
	} else if Loopback(p.Listen) != nil {
		c.fault("flight", 0, "listen", "%v", Loopback(p.Listen))
	}
	if s := f.Shares; s != nil {
		if s.PostgreSQL < 0 || s.Flight < 0 || s.PostgreSQL+s.Flight > 1 {
			c.fault("shares", 0, "postgresql", "shares are from 0 to 1, and together 1 at most")
		}
		cfg.Shares = FrontShares{s.PostgreSQL, s.Flight}
	} else {
		cfg.Shares = FrontShares{0.25, 0.25}
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
			c.fault("flight", 0, v.name, "%d is negative", v.given)
		}
		*v.to = or(v.given, v.otherwise)
	}
}

func (c *checker) log(cfg *Config, l *Log) {
	if l == nil {
		l = &Log{}
	}
	cfg.LogLevel, cfg.LogFormat = or(l.Level, "info"), or(l.Format, "text")
	pick(c, "log", 0, "level", cfg.LogLevel, map[string]int{"debug": 0, "info": 0, "warn": 0, "error": 0})
	pick(c, "log", 0, "format", cfg.LogFormat, map[string]int{"text": 0, "json": 0})
}

func (c *checker) roster(cfg *Config, r *Roster) {
	if r == nil {
		c.fault("", 0, "roster", "a block roster { eds = \"host:port\" } is wanted")
		return
	}
	cfg.EDS, cfg.Service, cfg.Cache = r.EDS, or(r.Service, "engines"), r.Cache
	if cfg.Cache == "" && cfg.State != "" {
		cfg.Cache = filepath.Join(cfg.State, "list")
	}
	if err := Loopback(r.EDS); err != nil {
		c.fault("roster", 0, "eds", "%v", err)
	}
}

func (c *checker) engines(cfg *Config, e *Engines) {
	if e == nil {
		e = &Engines{}
	}
	m := &cfg.Module
	cfg.EngineUser, cfg.EngineDatabase = or(e.User, "cresspass"), or(e.Database, "cresspass")
	cfg.MaxConnections, cfg.MaxPrepared = or(e.MaxConnections, 100), or(e.MaxPrepared, 200)
	if e.MaxConnections < 0 || e.MaxPrepared < 0 {
		c.fault("engines", 0, "max_connections", "is negative")
	}
	cfg.ConnectTimeout = c.duration("engines", 0, "connect_timeout", e.ConnectTimeout, time.Second)
	cfg.CancelTimeout = c.duration("engines", 0, "cancel_timeout", e.CancelTimeout, 2*time.Second)
	cfg.IdleTimeout = c.duration("engines", 0, "idle_timeout", e.IdleTimeout, time.Minute)
	m.TakesGrants, m.TakesPriority, m.MaxGrantShare, m.MayProbe = e.TakesGrants, e.TakesPriority,
		e.MaxGrantShare, e.MayProbe
	m.ProgressEvery = c.duration("engines", 0, "progress_every", e.ProgressEvery, 0)
	m.ReportFields = e.ReportFields
	m.WhenShort = pick(c, "engines", 0, "when_short", e.WhenShort,
		map[string]cresspass.Shortage{"": cresspass.ShortageUnknown,
			"wait": cresspass.ShortageWait, "shrink": cresspass.ShortageShrink,
			"page": cresspass.ShortagePage})
	for _, name := range e.ReportFields {
		if strings.ContainsAny(name, ", ") || name == "" {
			c.fault("engines", 0, "report_fields", "%q is no name", name)
		}
	}
}

func (c *checker) rules(m *cresspass.Config, r *Rules) {
	if r == nil {
		r = &Rules{}
	}
	d := func(name, v string, otherwise time.Duration) time.Duration {
		return c.duration("rules", 0, name, v, otherwise)
	}
	m.Rules = cresspass.Rules{AnswerGrace: d("answer_grace", r.AnswerGrace, 250*time.Millisecond),
		DrainGrace: d("drain_grace", r.DrainGrace, 2*time.Second), ColdFrom: r.ColdFrom,
		ColdFor:      d("cold_for", r.ColdFor, 0),
		ColdMultiple: r.ColdMultiple, ColdWindow: d("cold_window", r.ColdWindow, 0),
		OrderRest: d("order_rest", r.OrderRest, 500*time.Millisecond), BudgetShare: r.BudgetShare}
	if r.ColdFrom < 0 || r.ColdFrom > 1 {
		c.fault("rules", 0, "cold_from", "must be within 0 and 1")
	}
	if r.BudgetFree != nil {
		m.Rules.HasBudget, m.Rules.BudgetFree = true, *r.BudgetFree
		m.Rules.BudgetLookBack = d("budget_look_back", r.BudgetLookBack, 10*time.Second)
	} else if r.BudgetShare > 0 || r.BudgetLookBack != "" {
		c.fault("rules", 0, "budget_share", "without budget_free there is no budget")
	}
}

func (c *checker) limits(m *cresspass.Config, l *Limits) {
	if l == nil {
		l = &Limits{}
	}
	if l.MaxAttempts < 0 {
		c.fault("limits", 0, "max_attempts", "is negative")
	}
	m.MaxAttempts = or(l.MaxAttempts, 4)
	m.MaxComeBack = c.duration("limits", 0, "max_come_back", l.MaxComeBack, time.Second)
}

func (c *checker) class(m *cresspass.Config, f *File, i int, kinds map[string]bool) {
	k := &f.Classes[i]
	for j := range f.Classes[:i] {
		if f.Classes[j].Name == k.Name {
			c.fault("class", i, "class", "%q given twice", k.Name)
		}
	}
	out := cresspass.Class{Name: k.Name, Aim: c.duration("class", i, "aim", k.Aim, 0),
		AimStretch: k.AimStretch,
		Deadline:   c.duration("class", i, "deadline", k.Deadline, 0), Worth: or(k.Worth, 1),
		LateValue: k.LateValue,
		Window:    c.duration("class", i, "window", k.Window, 0), InOrder: k.InOrder, Kinds: k.OnKinds,
		Zones: k.InZones}
	out.Effect = pick(c, "class", i, "effect", k.Effect, map[string]cresspass.Effect{"safe": cresspass.Safe,
		"keyed": cresspass.Keyed, "unsafe": cresspass.Unsafe})
	out.Scope = pick(c, "class", i, "scope", k.Scope, map[string]cresspass.Scope{"": cresspass.ScopeAll,
		"all": cresspass.ScopeAll, "zone": cresspass.ScopeZone, "cell": cresspass.ScopeCell})
	if out.Deadline <= 0 {
		c.fault("class", i, "deadline", "must be above 0")
	}
	if out.Effect == cresspass.Keyed && out.Window <= 0 {
		c.fault("class", i, "window", "a keyed class needs the time for which engines drop repeats")
	}
	if k.Threads < 0 || k.Worth < 0 || k.LateValue < 0 || k.AimStretch < 0 {
		c.fault("class", i, "threads", "a figure is negative")
	}
	for _, name := range k.OnKinds {
		if !kinds[name] {
			c.fault("class", i, "on_kinds", "there is no kind %q", name)
		}
	}
	m.Classes = append(m.Classes, out)
	m.ClassThreads = append(m.ClassThreads, or(k.Threads, 1))
	m.ClassLoads = append(m.ClassLoads, k.Loads)
	m.ClassWaits = append(m.ClassWaits, k.Waits)
}

// classes checks what names a class.
func (c *checker) classes(cfg *Config, f *File) {
	effects := map[string]cresspass.Effect{}
	for _, k := range cfg.Module.Classes {
		effects[k.Name] = k.Effect
	}
	for _, v := range [][2]string{{"default_class", cfg.DefaultClass}, {"write_class", cfg.WriteClass},
		{"describe_class", cfg.DescribeClass}} {
		if _, ok := effects[v[1]]; v[1] != "" && !ok {
			c.fault("", 0, v[0], "there is no class %q", v[1])
		}
	}
	if cfg.WriteClass != "" && effects[cfg.WriteClass] == cresspass.Safe {
		c.fault("", 0, "write_class", "class %q is safe to repeat; statements that write are not",
			cfg.WriteClass)
	}
	if effects[cfg.DescribeClass] != cresspass.Safe {
		c.fault("", 0, "describe_class", "class %q is not safe to repeat", cfg.DescribeClass)
	}
	tenants := map[string]bool{}
	for _, t := range f.Tenants {
		tenants[t.Name] = true
	}
	for i, v := range f.Matches {
		r := Rule{Class: v.Class, User: v.User, Database: v.Database, Application: v.Application,
			Tenant: v.Tenant}
		if _, ok := effects[v.Class]; v.Class != "" && !ok {
			c.fault("match", i, "class", "there is no class %q", v.Class)
		}
		if v.Class == "" && v.Tenant == "" {
			c.fault("match", i, "class", "a match names a class, a tenant, or both")
		}
		if v.Tenant != "" && !tenants[v.Tenant] {
			c.fault("match", i, "tenant", "there is no tenant %q", v.Tenant)
		}
		if v.Pattern != "" {
			var err error
			if r.Pattern, err = regexp.Compile(v.Pattern); err != nil {
				c.fault("match", i, "pattern", "%v", err)
			}
		}
		cfg.Matches = append(cfg.Matches, r)
	}
}
