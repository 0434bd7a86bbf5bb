package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"cresspass"
	"cresspass/internal/goldentest"
)

// The files under testdata hold the keys that earlier builds accepted and the values that they read.

// dumper writes the checked settings under the names of their keys.
type dumper struct{ strings.Builder }

func (d *dumper) line(key string, values ...any) {
	fmt.Fprintf(d, "%s =", key)
	for _, v := range values {
		if s, ok := v.(string); ok {
			v = fmt.Sprintf("%q", s)
		}
		fmt.Fprintf(d, " %v", v)
	}
	fmt.Fprintln(d)
}

func dump(c *Config) string {
	var d dumper
	d.file(c)
	d.logDiscoveryEngines(c)
	d.rulesLimitsSessions(c)
	d.flightPeersRecord(c)
	d.classes(c)
	d.kindsTenants(c)
	d.matches(c)
	m := &c.Module
	d.line("what the module may", m.MayCancel, m.MaySendRetryAfter, m.MayGossip, m.MayHedge, m.PollEngineList,
		m.ReportsCost)
	return d.String()
}

// file writes the settings that are not in a block.
func (d *dumper) file(c *Config) {
	d.line("path", c.Path)
	d.line("listen", c.Listen)
	d.line("max_clients", c.MaxClients)
	d.line("startup_timeout", c.StartupTimeout)
	d.line("hold_back", c.HoldBack)
	d.line("hold_back_total", c.HoldBackTotal)
	d.line("max_message", c.MaxMessage)
	d.line("max_pending", c.MaxPending)
	d.line("client_buffer", c.ClientBuffer)
	m := &c.Module
	d.line("seed", m.Seed)
	d.line("ordinal", m.Ordinal)
	d.line("gateways", m.GatewayCount)
	d.line("zone", m.Zone)
	d.line("tick", m.BatchInterval)
	d.line("state", c.StateDir)
	d.line("state_every", c.SnapshotInterval)
	d.line("pid_file", c.PIDFile)
	d.line("health", c.HealthAddr)
	d.line("takeover", c.TakeoverSocket)
	d.line("drain_for", c.DrainTimeout)
	d.line("max_held", c.MaxOpenQueries)
	d.line("max_answer_memory", c.MaxBufferedBytes)
	d.line("max_input_memory", c.MaxInputBytes)
	d.line("max_per_user", c.MaxConnectionsPerUser)
	d.line("lag_limit", c.LagLimit)
	d.line("default_class", c.DefaultClass)
	d.line("write_class", c.WriteClass)
	d.line("describe_class", c.DescribeClass)
}

func (d *dumper) logDiscoveryEngines(c *Config) {
	m := &c.Module
	d.line("log.level", c.LogLevel)
	d.line("log.format", c.LogFormat)
	d.line("roster.eds", c.DiscoveryAddr)
	d.line("roster.service", c.DiscoveryService)
	d.line("roster.cache", c.EndpointCacheFile)
	d.line("engines.user", c.EngineUser)
	d.line("engines.database", c.EngineDatabase)
	d.line("engines.max_connections", c.MaxConnections)
	d.line("engines.connect_timeout", c.ConnectTimeout)
	d.line("engines.cancel_timeout", c.CancelTimeout)
	d.line("engines.idle_timeout", c.IdleTimeout)
	d.line("engines.max_prepared", c.MaxPrepared)
	d.line("engines.takes_grants", m.AcceptsMemoryGrants)
	d.line("engines.takes_priority", m.AcceptsPriority)
	d.line("engines.max_grant_share", m.MaxGrantShare)
	d.line("engines.when_short", int(m.OnMemoryShortage))
	d.line("engines.progress_every", m.ProgressInterval)
	d.line("engines.report_fields", m.LoadReportFields)
	d.line("engines.may_probe", m.MayCheckHealth)
}

func (d *dumper) rulesLimitsSessions(c *Config) {
	m := &c.Module
	r := &m.Rules
	d.line("rules.answer_grace", r.AnswerGrace)
	d.line("rules.drain_grace", r.DrainGrace)
	d.line("rules.cold_from", r.SlowStartFrom)
	d.line("rules.cold_for", r.SlowStartDuration)
	d.line("rules.cold_multiple", r.SlowStartOverloadFactor)
	d.line("rules.cold_window", r.SlowStartWindow)
	d.line("rules.order_rest", r.OrderSettleDelay)
	d.line("rules.budget_free", r.HasRetryBudget, r.RetryBudgetFree)
	d.line("rules.budget_share", r.RetryBudgetRatio)
	d.line("rules.budget_look_back", r.RetryBudgetWindow)
	d.line("limits.max_attempts", m.MaxAttempts)
	d.line("limits.max_come_back", m.MaxRetryAfter)
	d.line("sessions.idle_in_transaction", c.SessionLimits.IdleInTransaction)
	d.line("sessions.max_age", c.SessionLimits.MaxAge)
	d.line("sessions.max", c.SessionLimits.MaxTotal)
	d.line("sessions.max_per_user", c.SessionLimits.MaxPerUser)
	d.line("sessions.max_per_engine", m.MaxSessionsPerEngine)
	d.line("sessions.harmless", c.HarmlessFunctions)
}

func (d *dumper) flightPeersRecord(c *Config) {
	d.line("flight.listen", c.Flight.Listen)
	d.line("flight.ticket_life", c.Flight.TicketLifetime)
	d.line("flight.session_rest", c.Flight.SessionIdleTimeout)
	d.line("flight.keep_alive", c.Flight.KeepAlive)
	d.line("flight.max_connection_age", c.Flight.MaxAge)
	d.line("flight.max_tickets", c.Flight.MaxTickets)
	d.line("flight.max_streams", c.Flight.MaxStreams)
	d.line("flight.max_transactions", c.Flight.MaxTransactions)
	d.line("flight.max_prepared", c.Flight.MaxPrepared)
	d.line("flight.max_waiting", c.Flight.MaxWaiting)
	d.line("shares.postgresql", c.FrontQuotas.PostgreSQL)
	d.line("shares.flight", c.FrontQuotas.Flight)
	d.line("peers.listen", c.Peers.Listen)
	d.line("peers.name", c.Peers.Name)
	d.line("peers.seeds", c.Peers.Seeds)
	for _, k := range c.Peers.Keys {
		d.line("peers.keys", fmt.Sprintf("%x", k))
	}
	d.line("peers.rate", c.Peers.Rate)
	d.line("peers.wait", c.Peers.Wait)
	d.line("record.dir", c.RecordingDir)
	d.line("record.file_mb", c.RecordingLimits.FileBytes)
	d.line("record.total_mb", c.RecordingLimits.TotalBytes)
}

func (d *dumper) classes(c *Config) {
	m := &c.Module
	for i := range m.Classes {
		k := &m.Classes[i]
		d.line("class", k.Name)
		d.line("class.aim", k.LatencyObjective)
		d.line("class.aim_stretch", k.ObjectiveStretch)
		d.line("class.deadline", k.Deadline)
		d.line("class.worth", k.PriorityWeight)
		d.line("class.late_value", k.LateAnswerValue)
		d.line("class.effect", k.Effect == cresspass.Idempotent, k.Effect == cresspass.IdempotentWithKey,
			k.Effect == cresspass.NotIdempotent)
		d.line("class.scope", k.DeduplicationScope == cresspass.ScopeAll,
			k.DeduplicationScope == cresspass.ScopeZone, k.DeduplicationScope == cresspass.ScopeCell)
		d.line("class.window", k.DeduplicationWindow)
		d.line("class.in_order", k.OrderedByKey)
		d.line("class.on_kinds", k.AllowedKinds)
		d.line("class.in_zones", k.AllowedZones)
		d.line("class.threads", m.ClassThreads[i])
		d.line("class.loads", m.ClassIsBulkLoad[i])
		d.line("class.waits", m.ClassWaitsForBulkLoad[i])
	}
}

func (d *dumper) kindsTenants(c *Config) {
	m := &c.Module
	for i, name := range m.KindNames {
		d.line("kind", name)
		d.line("kind.cores", m.KindCores[i])
		d.line("kind.memory_mb", m.KindMemoryMB[i])
	}
	for _, t := range m.Tenants {
		d.line("tenant", t.Name)
		d.line("tenant.quota", t.QuotaPerSecond)
		d.line("tenant.share", t.Share)
	}
}

func (d *dumper) matches(c *Config) {
	for _, v := range c.Matches {
		d.line("match.class", v.Class)
		d.line("match.user", v.User)
		d.line("match.database", v.Database)
		d.line("match.application_name", v.Application)
		d.line("match.tenant", v.Tenant)
		if v.Pattern == nil {
			d.line("match.pattern")
		} else {
			d.line("match.pattern", v.Pattern.String())
		}
	}
}

// A file with every key and a file with the fewest keys yield the same values as in earlier builds.
func TestGoldenValues(t *testing.T) {
	for _, name := range []string{"all-keys", "least"} {
		cfg, err := Load(filepath.Join("testdata", name+".hcl"))
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Compare(t, name+".golden", []byte(dump(cfg)))
	}
}

// keys returns the keys of the struct of a settings file and of its blocks.
func keys(structType reflect.Type, block string) (out []string) {
	for i := range structType.NumField() {
		f := structType.Field(i)
		tag, ok := f.Tag.Lookup("hcl")
		if !ok {
			out = append(out, block+"."+f.Name+" has no tag")
			continue
		}
		name, _, _ := strings.Cut(tag, ",")
		if strings.HasSuffix(tag, ",block") {
			of := f.Type.Elem()
			out = append(out, tag)
			out = append(out, keys(of, block+name+".")...)
			continue
		}
		out = append(out, block+tag+" "+f.Type.String())
	}
	return out
}

// The keys, their types, and which of them are optional do not change.
func TestGoldenKeys(t *testing.T) {
	current := strings.Join(keys(reflect.TypeFor[File](), ""), "\n") + "\n"
	goldentest.Compare(t, "keys.txt", []byte(current))
}

// The file all-keys.hcl names every key of the settings.
func TestGoldenFileNamesEveryKey(t *testing.T) {
	src, err := os.ReadFile(filepath.Join("testdata", "all-keys.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keys(reflect.TypeFor[File](), "") {
		name, _, _ := strings.Cut(strings.Fields(key)[0], ",")
		block, attribute, inBlock := strings.Cut(name, ".")
		if !inBlock {
			block, attribute = "", name
		}
		if strings.HasSuffix(key, ",block") || strings.Contains(key, ",label ") {
			continue
		}
		body, found := string(src), false
		if inBlock {
			body = ""
			for _, part := range strings.Split("\n"+string(src), "\n"+block+" ")[1:] {
				text, _, _ := strings.Cut(part, "\n}")
				body += text + "\n"
			}
		}
		for _, line := range strings.Split(body, "\n") {
			if !inBlock && strings.HasPrefix(line, " ") {
				continue
			}
			if before, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(before) == attribute {
				found = true
			}
		}
		if !found {
			t.Errorf("all-keys.hcl does not name %s", key)
		}
	}
}

// A reload logs the names of changed settings. These names, and which of them need a restart, do not change.
func TestGoldenCompare(t *testing.T) {
	var files []*Config
	for _, name := range []string{"all-keys.hcl", "least.hcl"} {
		cfg, err := Load(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, cfg)
	}
	live, restart := Compare(files[0], files[1])
	current := "live\n" + strings.Join(live, "\n") + "\nrestart\n" + strings.Join(restart, "\n") + "\n"
	goldentest.Compare(t, "changed.txt", []byte(current))
	if live, restart := Compare(files[0], files[0]); len(live)+len(restart) > 0 {
		t.Errorf("a file differs from itself in %q and %q", live, restart)
	}
}
