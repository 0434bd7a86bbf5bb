// Package config reads the dispatcher's settings from HCL and checks them. Every error names its file, line
// and column. The package opens no sockets and starts nothing. docs/operate.md describes each setting.
//
// File is the structure of a settings file, with the keys in its tags. Config holds the checked settings.
// Each block has a source file of its own with its structure, its checked values and its validation.
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

// Config holds the settings of a checked settings file.
type Config struct {
	Path string // path of the file

	// Clients of PostgreSQL's protocol.
	Listen         string
	MaxClients     int
	StartupTimeout time.Duration
	HoldBack       int   // bytes of an answer that are held back before the first is sent
	HoldBackTotal  int64 // bytes held back over all answers
	MaxMessage     int   // largest body of a message, in bytes
	MaxInputBytes  int64 // of input that the sessions of all PostgreSQL clients hold
	MaxPending     int   // bytes that a client may send ahead while a query runs
	ClientBuffer   int   // unsent bytes of one client above which its engine is no longer read

	// The process. An empty path or address disables the feature.
	StateDir         string
	SnapshotInterval time.Duration // between snapshots of what the decision module has learned
	PIDFile          string
	HealthAddr       string
	TakeoverSocket   string
	DrainTimeout     time.Duration
	// TakingOver is set if a predecessor may still own the state directory. It is not read from the file.
	TakingOver bool
	// FlightListener is the listener that was taken over from a predecessor; nil: a new one is opened. It is
	// not read from the file.
	FlightListener net.Listener
	// AllowViolations lets actions that violate an invariant go through; the violations are only counted. It
	// is for rehearsals, whose checker must see the violations of a policy. It is not read from the file.
	AllowViolations bool

	// Protection against overload.
	MaxBufferedBytes      int64         // of answers that wait for clients; above it queries are rejected
	MaxOpenQueries        int           // queries without a final answer; 0: no limit
	MaxConnectionsPerUser int           // 0: no limit
	LagLimit              time.Duration // an event loop batch that takes longer counts as lagging
	FrontQuotas           FrontQuotas

	// The rules that give a query its class.
	DefaultClass, WriteClass, DescribeClass string
	Matches                                 []MatchRule

	Module            cresspass.Config // settings of the decision module
	SessionLimits     affinity.Limits
	HarmlessFunctions []string // functions that leave no session state, as patterns in lower case

	LogLevel, LogFormat string

	DiscoveryAddr     string // address of the endpoint discovery service
	DiscoveryService  string
	EndpointCacheFile string // file that keeps the last endpoint list; "": the list is not kept

	EngineUser, EngineDatabase                 string
	MaxConnections, MaxPrepared                int // per engine; prepared statements per connection
	ConnectTimeout, CancelTimeout, IdleTimeout time.Duration

	Flight FlightSettings
	Peers  PeerSettings

	RecordingDir    string // "": nothing is recorded
	RecordingLimits recording.Limits
}

// Load reads and checks a settings file. The error joins all faults of the file, each with file:line:column.
func Load(path string) (*Config, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse checks the text of a settings file. path is only used in errors and for Config.Path.
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

// build checks a file. Errors are reported in the order of these steps.
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
