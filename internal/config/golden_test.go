package config

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"cresspass"
)

// The files under testdata hold the keys that earlier builds knew and the values that they read.
var update = flag.Bool("update", false, "write the golden files anew")

func golden(t *testing.T, name, today string) string {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(today), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(stored)
}

// dump writes what a file was read as, under the names of its keys.
func dump(c *Config) string {
	var b strings.Builder
	line := func(key string, values ...any) {
		fmt.Fprintf(&b, "%s =", key)
		for _, v := range values {
			if s, ok := v.(string); ok {
				v = fmt.Sprintf("%q", s)
			}
			fmt.Fprintf(&b, " %v", v)
		}
		fmt.Fprintln(&b)
	}
	line("path", c.Path)
	line("listen", c.Listen)
	line("max_clients", c.MaxClients)
	line("startup_timeout", c.StartupTimeout)
	line("hold_back", c.HoldBack)
	line("hold_back_total", c.HoldBackTotal)
	line("max_message", c.MaxMessage)
	line("max_pending", c.MaxPending)
	line("client_buffer", c.ClientBuffer)
	m := &c.Module
	line("seed", m.Seed)
	line("ordinal", m.Ordinal)
	line("gateways", m.GatewayCount)
	line("zone", m.Zone)
	line("tick", m.BatchInterval)
	line("state", c.StateDir)
	line("state_every", c.SnapshotInterval)
	line("pid_file", c.PIDFile)
	line("health", c.HealthAddr)
	line("takeover", c.TakeoverSocket)
	line("drain_for", c.DrainTimeout)
	line("max_held", c.MaxOpenQueries)
	line("max_answer_memory", c.MaxBufferedBytes)
	line("max_per_user", c.MaxConnectionsPerUser)
	line("lag_limit", c.LagLimit)
	line("default_class", c.DefaultClass)
	line("write_class", c.WriteClass)
	line("describe_class", c.DescribeClass)
	line("log.level", c.LogLevel)
	line("log.format", c.LogFormat)
	line("roster.eds", c.DiscoveryAddr)
	line("roster.service", c.DiscoveryService)
	line("roster.cache", c.EndpointCacheFile)
	line("engines.user", c.EngineUser)
	line("engines.database", c.EngineDatabase)
	line("engines.max_connections", c.MaxConnections)
	line("engines.connect_timeout", c.ConnectTimeout)
	line("engines.cancel_timeout", c.CancelTimeout)
	line("engines.idle_timeout", c.IdleTimeout)
	line("engines.max_prepared", c.MaxPrepared)
	line("engines.takes_grants", m.AcceptsMemoryGrants)
	line("engines.takes_priority", m.AcceptsPriority)
	line("engines.max_grant_share", m.MaxGrantShare)
	line("engines.when_short", int(m.OnMemoryShortage))
	line("engines.progress_every", m.ProgressInterval)
	line("engines.report_fields", m.LoadReportFields)
	line("engines.may_probe", m.MayCheckHealth)
	r := &m.Rules
	line("rules.answer_grace", r.AnswerGrace)
	line("rules.drain_grace", r.DrainGrace)
	line("rules.cold_from", r.SlowStartFrom)
	line("rules.cold_for", r.SlowStartDuration)
	line("rules.cold_multiple", r.SlowStartOverloadFactor)
	line("rules.cold_window", r.SlowStartWindow)
	line("rules.order_rest", r.OrderSettleDelay)
	line("rules.budget_free", r.HasRetryBudget, r.RetryBudgetFree)
	line("rules.budget_share", r.RetryBudgetRatio)
	line("rules.budget_look_back", r.RetryBudgetWindow)
	line("limits.max_attempts", m.MaxAttempts)
	line("limits.max_come_back", m.MaxRetryAfter)
	line("sessions.idle_in_transaction", c.SessionLimits.IdleInTransaction)
	line("sessions.max_age", c.SessionLimits.MaxAge)
	line("sessions.max", c.SessionLimits.MaxTotal)
	line("sessions.max_per_user", c.SessionLimits.MaxPerUser)
	line("sessions.max_per_engine", m.MaxSessionsPerEngine)
	line("sessions.harmless", c.HarmlessFunctions)
	line("flight.listen", c.Flight.Listen)
	line("flight.ticket_life", c.Flight.TicketLife)
	line("flight.session_rest", c.Flight.SessionRest)
	line("flight.keep_alive", c.Flight.KeepAlive)
	line("flight.max_connection_age", c.Flight.MaxAge)
	line("flight.max_tickets", c.Flight.MaxTickets)
	line("flight.max_streams", c.Flight.MaxStreams)
	line("flight.max_transactions", c.Flight.MaxTransactions)
	line("flight.max_prepared", c.Flight.MaxPrepared)
	line("flight.max_waiting", c.Flight.MaxWaiting)
	line("shares.postgresql", c.FrontQuotas.PostgreSQL)
	line("shares.flight", c.FrontQuotas.Flight)
	line("peers.listen", c.Peers.Listen)
	line("peers.name", c.Peers.Name)
	line("peers.seeds", c.Peers.Seeds)
	for _, k := range c.Peers.Keys {
		line("peers.keys", fmt.Sprintf("%x", k))
	}
	line("peers.rate", c.Peers.Rate)
	line("peers.wait", c.Peers.Wait)
	line("record.dir", c.RecordingDir)
	line("record.file_mb", c.RecordingLimits.FileBytes)
	line("record.total_mb", c.RecordingLimits.TotalBytes)
	for i := range m.Classes {
		k := &m.Classes[i]
		line("class", k.Name)
		line("class.aim", k.LatencyObjective)
		line("class.aim_stretch", k.ObjectiveStretch)
		line("class.deadline", k.Deadline)
		line("class.worth", k.PriorityWeight)
		line("class.late_value", k.LateAnswerValue)
		line("class.effect", k.Effect == cresspass.Idempotent, k.Effect == cresspass.IdempotentWithKey,
			k.Effect == cresspass.NotIdempotent)
		line("class.scope", k.DeduplicationScope == cresspass.ScopeAll,
			k.DeduplicationScope == cresspass.ScopeZone, k.DeduplicationScope == cresspass.ScopeCell)
		line("class.window", k.DeduplicationWindow)
		line("class.in_order", k.OrderedByKey)
		line("class.on_kinds", k.AllowedKinds)
		line("class.in_zones", k.AllowedZones)
		line("class.threads", m.ClassThreads[i])
		line("class.loads", m.ClassIsBulkLoad[i])
		line("class.waits", m.ClassWaitsForBulkLoad[i])
	}
	for i, name := range m.KindNames {
		line("kind", name)
		line("kind.cores", m.KindCores[i])
		line("kind.memory_mb", m.KindMemoryMB[i])
	}
	for _, t := range m.Tenants {
		line("tenant", t.Name)
		line("tenant.quota", t.QuotaPerSecond)
		line("tenant.share", t.Share)
	}
	for _, v := range c.Matches {
		line("match.class", v.Class)
		line("match.user", v.User)
		line("match.database", v.Database)
		line("match.application_name", v.Application)
		line("match.tenant", v.Tenant)
		if v.Pattern == nil {
			line("match.pattern")
		} else {
			line("match.pattern", v.Pattern.String())
		}
	}
	line("what the module may", m.MayCancel, m.MaySendRetryAfter, m.MayGossip, m.MayHedge, m.PollEngineList,
		m.ReportsCost)
	return b.String()
}

// Files that name every key, and as few as may be, are read to the values that earlier builds read.
func TestGoldenValues(t *testing.T) {
	for _, name := range []string{"all-keys", "least"} {
		cfg, err := Load(filepath.Join("testdata", name+".hcl"))
		if err != nil {
			t.Fatal(err)
		}
		read := dump(cfg)
		stored := golden(t, name+".golden", read)
		if read == stored {
			continue
		}
		now, was := strings.Split(read, "\n"), strings.Split(stored, "\n")
		for i := range max(len(now), len(was)) {
			if i >= len(now) || i >= len(was) || now[i] != was[i] {
				t.Errorf("%s.golden:%d: another value; now %d lines, then %d:\n%s\n%s", name, i+1,
					len(now), len(was), strings.Join(now[min(i, len(now)):min(i+1, len(now))], ""),
					strings.Join(was[min(i, len(was)):min(i+1, len(was))], ""))
				break
			}
		}
	}
}

// keys returns the keys of a settings file's form, with those of its blocks.
func keys(form reflect.Type, block string) (out []string) {
	for i := range form.NumField() {
		f := form.Field(i)
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

// The keys, which of them may be left out, and their types.
func TestGoldenKeys(t *testing.T) {
	today := strings.Join(keys(reflect.TypeFor[File](), ""), "\n") + "\n"
	if stored := golden(t, "keys.txt", today); today != stored {
		t.Errorf("the keys are\n%s\nthey were\n%s", today, stored)
	}
}

// The file that is said to name every key does.
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

// The names of changed settings, which a reload logs, and which of them need a restart.
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
	today := "live\n" + strings.Join(live, "\n") + "\nrestart\n" + strings.Join(restart, "\n") + "\n"
	if stored := golden(t, "changed.txt", today); today != stored {
		t.Errorf("what changed is\n%s\nit was\n%s", today, stored)
	}
	if live, restart := Compare(files[0], files[0]); len(live)+len(restart) > 0 {
		t.Errorf("a file differs from itself in %q and %q", live, restart)
	}
}
