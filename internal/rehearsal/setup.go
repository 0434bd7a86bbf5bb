package rehearsal

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/simulation/enginemodel"
	"cresspass/internal/standin"
)

// Parameters of the stand-in engines.
const (
	engineSpillCost      = 2.5 // extra work, as a multiple, of a query that gets no memory
	engineCachedDataSets = 4   // data sets in an engine's cache
	engineCacheSaving    = 0.3 // share of the work that a cached data set saves
	jobsPerCore          = 8   // limit of an engine's jobs
	loadReportInterval   = 200 * time.Millisecond
	enginesPerCell       = 2
)

const (
	listPollInterval = 10 * time.Millisecond
	fullListVersion  = 2 // version 1 is the list from before the relays were started
)

// setUp starts engines, discovery, relays and dispatchers, and creates the workload.
func (r *run) setUp(ctx context.Context) error {
	for _, c := range r.day.Module.Classes {
		r.dedupWindow = max(r.dedupWindow, c.DeduplicationWindow)
	}
	var err error
	if r.testbed, err = testbed.New(r.engineConfigs()...); err != nil {
		return err
	}
	if err := r.startEngineRelays(); err != nil {
		return err
	}
	if err := os.MkdirAll(r.options.Dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(r.settingsFile(), []byte(r.day.Settings), 0o644); err != nil {
		return err
	}
	if err := r.startDispatchers(ctx); err != nil {
		return err
	}
	if err := r.awaitEngineLists(); err != nil {
		return err
	}
	var addrs, flightAddrs []string
	for _, d := range r.dispatchers {
		addrs = append(addrs, d.relay.Addr())
		if d.flightRelay != nil {
			flightAddrs = append(flightAddrs, d.flightRelay.Addr())
		}
	}
	r.load = newWorkload(r.day, r.options.Seed, addrs)
	r.load.flight = flightAddrs
	return nil
}

// engineConfigs returns the configuration of each stand-in engine.
func (r *run) engineConfigs() []standin.EngineConfig {
	rules := r.day.Module.Rules
	cfg := make([]standin.EngineConfig, r.day.Engines)
	for i := range cfg {
		cores := r.day.cores(i)
		cfg[i] = standin.EngineConfig{
			Kind: enginemodel.Kind{
				Cores:                   cores,
				MemoryMB:                r.day.MemoryMB,
				SpillCost:               engineSpillCost,
				CachedDataSets:          engineCachedDataSets,
				CacheSaving:             engineCacheSaving,
				SlowStartFrom:           rules.SlowStartFrom,
				SlowStartDuration:       rules.SlowStartDuration,
				SlowStartOverloadFactor: rules.SlowStartOverloadFactor,
				SlowStartWindow:         rules.SlowStartWindow,
				MaxJobs:                 int(jobsPerCore * cores),
			},
			Seed:          r.options.Seed,
			ProgressEvery: r.day.Module.ProgressInterval,
			ReportEvery:   loadReportInterval,
			Window:        r.dedupWindow,
		}
	}
	return cfg
}

// startEngineRelays starts a relay before each engine, and lists the engines under their relays' addresses.
func (r *run) startEngineRelays() error {
	for i, e := range r.testbed.Engines {
		relay, err := r.recorder.NewRelay(rulecheck.Engines, "", e.Addr())
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		e.Entry.Address, e.Entry.Kind = relay.Addr(), r.day.kind(i)
		e.Entry.Zone, e.Entry.Cell = r.day.zone(i), i/enginesPerCell
	}
	r.testbed.Publish()
	return nil
}

// settingsFile returns the path of the settings file for dispatchers that do not gossip.
func (r *run) settingsFile() string { return filepath.Join(r.options.Dir, "settings.hcl") }

// startDispatchers starts all dispatchers. Those that gossip get a settings file each.
func (r *run) startDispatchers(ctx context.Context) error {
	gossip := r.day.Gossip
	if r.options.Gossip != "" {
		gossip = r.options.Gossip
	}
	seedAddr := ""
	for i := range r.day.Dispatchers {
		settings := r.settingsFile()
		if gossip != "" && gossip != gossipOff {
			addr, err := testbed.FreePort()
			if err != nil {
				return err
			}
			settings = filepath.Join(r.options.Dir, fmt.Sprintf("settings-%d.hcl", i))
			text := r.day.Settings + membershipBlock(i, addr, seedAddr, gossip)
			if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
				return err
			}
			if seedAddr == "" {
				seedAddr = addr
			}
		}
		if err := r.startDispatcher(ctx, i, settings); err != nil {
			return err
		}
	}
	return nil
}

// startDispatcher starts a dispatcher and the relays before it.
func (r *run) startDispatcher(ctx context.Context, i int, settings string) error {
	addr, err := testbed.FreePort()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.options.Dir, fmt.Sprintf("dispatcher-%d.log", i)))
	if err != nil {
		return err
	}
	d := &dispatcher{run: r, index: i, addr: addr, log: log}
	d.args = r.dispatcherArgs(d, settings)
	flightAddr := ""
	if r.day.Flight > 0 {
		if flightAddr, err = testbed.FreePort(); err != nil {
			return err
		}
		d.args = append(d.args, "--flight", flightAddr)
	}
	r.dispatchers = append(r.dispatchers, d)
	if err := d.start(ctx); err != nil {
		return err
	}
	if d.relay, err = r.recorder.NewRelay(rulecheck.Clients, d.name(), addr); err != nil {
		return err
	}
	if r.day.Flight > 0 {
		d.flightRelay, err = r.recorder.NewFlightRelay(d.name(), flightAddr)
	}
	return err
}

// dispatcherArgs returns the sub-command and the flags of a dispatcher.
func (r *run) dispatcherArgs(d *dispatcher, settings string) []string {
	args := []string{"serve"}
	if r.options.Policy != "" || r.options.Mutate != 0 {
		args = []string{"rehearse", "dispatcher", "--policy", r.options.Policy, "--mutate",
			strconv.Itoa(r.options.Mutate)}
	}
	args = append(args, "-c", settings, "--listen", d.addr, "--eds", r.testbed.Discovery.Addr(),
		"--cache", filepath.Join(r.options.Dir, fmt.Sprintf("list-%d", d.index)),
		"--ordinal", strconv.Itoa(d.index), "--gateways", strconv.Itoa(r.day.Dispatchers),
		"--engine-user", d.name(), "--with-parent")
	if !r.options.NoState {
		args = append(args, "--state", r.stateDir(d.index))
	}
	return args
}

// stateDir returns the folder in which a dispatcher stores its state.
func (r *run) stateDir(dispatcher int) string {
	return filepath.Join(r.options.Dir, fmt.Sprintf("state-%d", dispatcher))
}

// awaitEngineLists waits until every dispatcher has acknowledged the list with the relays' addresses.
func (r *run) awaitEngineLists() error {
	for begin := time.Now(); ; time.Sleep(listPollInterval) {
		notifications, _ := r.testbed.Discovery.Notifications()
		nodes := map[string]bool{}
		for _, n := range notifications {
			if n.Version >= fullListVersion {
				nodes[n.Node] = true
			}
		}
		if len(nodes) == r.day.Dispatchers {
			return nil
		}
		if time.Since(begin) > startTimeout {
			return fmt.Errorf("rehearse: %d of %d dispatchers took the engine list within 10 s", len(nodes),
				r.day.Dispatchers)
		}
	}
}

// membershipKey is the key for the dispatchers' gossip, in hexadecimal.
var membershipKey = strings.Repeat("5c", 32)

// membershipBlock returns the HCL settings block with which a dispatcher gossips. The first dispatcher has no
// seed address and is the seed of all others.
func membershipBlock(i int, addr, seedAddr, gossip string) string {
	seeds, wait := "[]", "0s"
	if seedAddr != "" {
		seeds = fmt.Sprintf("[%q]", seedAddr)
	}
	if gossip == gossipAsk {
		wait = "1s"
	}
	return fmt.Sprintf("\npeers {\n  listen = %q\n  name = \"d%d\"\n  seeds = %s\n  keys = [%q]\n"+
		"  wait = %q\n}\n", addr, i, seeds, membershipKey, wait)
}
