// Package config reads the dispatcher's settings from HCL and checks them. Every error names its file, line
// and column. It opens no socket and starts nothing; docs/operate.md says what each setting does.
//
// File is the form of a settings file, with the keys in its tags; Config holds the checked settings. Each
// block has a file of its own with its form, its checked values and its validation.
package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"cresspass"
	"cresspass/internal/affinity"
	"cresspass/internal/recording"
)

// Config is a checked settings file.
type Config struct {
	Path string // of the file

	// Clients of PostgreSQL's protocol.
	Listen         string
	MaxClients     int
	StartupTimeout time.Duration
	HoldBack       int   // bytes of an answer that are held before the first goes out
	HoldBackTotal  int64 // over all answers
	MaxMessage     int
	MaxPending     int
	ClientBuffer   int

	// The process. An empty path or address switches its feature off.
	StateDir         string
	SnapshotInterval time.Duration // between snapshots of what the decision module has learned
	PIDFile          string
	HealthAddr       string
	TakeoverSocket   string
	DrainTimeout     time.Duration
	// TakingOver says that the state directory may be a predecessor's yet. It is not of the file.
	TakingOver bool
	// FlightListener was taken over from a predecessor; nil: one is opened. It is not of the file.
	FlightListener net.Listener
	// AllowViolations has violated invariants counted only, and the act go through: for the rehearsal kit,
	// whose judge has to see what a decider breaks. It is not of the file.
	AllowViolations bool

	// Protection against overload.
	MaxBufferedBytes      int64         // of answers that wait for clients; beyond it queries are rejected
	MaxOpenQueries        int           // queries without an answer; 0: no limit
	MaxConnectionsPerUser int           // 0: no limit
	LagLimit              time.Duration // a batch of the event loop that takes longer is late
	FrontQuotas           FrontQuotas

	// Which class a query has.
	DefaultClass, WriteClass, DescribeClass string
	Matches                                 []MatchRule

	Module            cresspass.Config // of the decision module
	SessionLimits     affinity.Limits
	HarmlessFunctions []string // that leave nothing in a session, as patterns in lower case

	LogLevel, LogFormat string

	DiscoveryAddr     string // of the endpoint discovery service
	DiscoveryService  string
	EndpointCacheFile string // keeps the last endpoint list; "": none

	EngineUser, EngineDatabase                 string
	MaxConnections, MaxPrepared                int // to and on each engine
	ConnectTimeout, CancelTimeout, IdleTimeout time.Duration

	Flight FlightSettings
	Peers  PeerSettings

	RecordingDir    string // "": nothing is recorded
	RecordingLimits recording.Limits
}

// Load reads and checks a file. The error joins all that is wrong, each with file:line:column.
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
	v := &validator{path: path, body: parsed.Body.(*hclsyntax.Body)}
	cfg := v.build(&f)
	if len(v.errs) > 0 {
		return nil, errors.Join(v.errs...)
	}
	return cfg, nil
}

// build checks a file. Errors come in the order of these steps.
func (v *validator) build(f *File) *Config {
	cfg := &Config{Path: v.path}
	m := &cfg.Module
	v.applyListeners(cfg, f)
	v.applyProcess(cfg, f)
	v.applyOverload(cfg, f)
	v.applyDispatcher(m, f)
	v.applyLog(cfg, f.Log)
	v.applyRoster(cfg, f.Roster)
	v.applyEngines(cfg, f.Engines)
	v.applyRules(m, f.Rules)
	v.applyLimits(m, f.Limits)
	v.applySessions(cfg, f.Sessions)
	v.applyFlight(cfg, f)
	v.applyPeers(cfg, f.Peers)
	v.applyRecord(cfg, f.Record)
	v.applyKinds(m, f.Kinds)
	v.applyClasses(m, f.Classes)
	v.applyTenants(m, f.Tenants)
	v.applyClassNames(cfg, f)
	v.applyMatches(cfg, f.Matches)
	if len(v.errs) == 0 {
		if err := m.Validate(); err != nil {
			v.errs = append(v.errs, fmt.Errorf("%s: %w", v.path, err))
		}
	}
	return cfg
}
