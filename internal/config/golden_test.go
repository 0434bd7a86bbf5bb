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
	line("gateways", m.Gateways)
	line("zone", m.Zone)
	line("tick", m.Tick)
	line("state", c.State)
	line("state_every", c.StateEvery)
	line("pid_file", c.PidFile)
	line("health", c.Health)
	line("takeover", c.Takeover)
	line("drain_for", c.DrainFor)
	line("max_held", c.MaxHeld)
	line("max_answer_memory", c.MaxAnswers)
	line("max_per_user", c.MaxPerUser)
	line("lag_limit", c.LagLimit)
	line("default_class", c.DefaultClass)
	line("write_class", c.WriteClass)
	line("describe_class", c.DescribeClass)
	line("log.level", c.LogLevel)
	line("log.format", c.LogFormat)
	line("roster.eds", c.EDS)
	line("roster.service", c.Service)
	line("roster.cache", c.Cache)
	line("engines.user", c.EngineUser)
	line("engines.database", c.EngineDatabase)
	line("engines.max_connections", c.MaxConnections)
	line("engines.connect_timeout", c.ConnectTimeout)
	line("engines.cancel_timeout", c.CancelTimeout)
	line("engines.idle_timeout", c.IdleTimeout)
	line("engines.max_prepared", c.MaxPrepared)
	line("engines.takes_grants", m.TakesGrants)
	line("engines.takes_priority", m.TakesPriority)
	line("engines.max_grant_share", m.MaxGrantShare)
	line("engines.when_short", int(m.WhenShort))
	line("engines.progress_every", m.ProgressEvery)
	line("engines.report_fields", m.ReportFields)
	line("engines.may_probe", m.MayProbe)
	r := &m.Rules
	line("rules.answer_grace", r.AnswerGrace)
	line("rules.drain_grace", r.DrainGrace)
	line("rules.cold_from", r.ColdFrom)
	line("rules.cold_for", r.ColdFor)
	line("rules.cold_multiple", r.ColdMultiple)
	line("rules.cold_window", r.ColdWindow)
	line("rules.order_rest", r.OrderRest)
	line("rules.budget_free", r.HasBudget, r.BudgetFree)
	line("rules.budget_share", r.BudgetShare)
	line("rules.budget_look_back", r.BudgetLookBack)
	line("limits.max_attempts", m.MaxAttempts)
	line("limits.max_come_back", m.MaxComeBack)
	line("sessions.idle_in_transaction", c.Pins.IdleInTx)
	line("sessions.max_age", c.Pins.Age)
	line("sessions.max", c.Pins.Total)
	line("sessions.max_per_user", c.Pins.PerUser)
	line("sessions.max_per_engine", m.MaxSessions)
	line("sessions.harmless", c.Harmless)
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
	line("shares.postgresql", c.Shares.PostgreSQL)
	line("shares.flight", c.Shares.Flight)
	line("peers.listen", c.Peers.Listen)
	line("peers.name", c.Peers.Name)
	line("peers.seeds", c.Peers.Seeds)
	for _, k := range c.Peers.Keys {
		line("peers.keys", fmt.Sprintf("%x", k))
	}
	line("peers.rate", c.Peers.Rate)
	line("peers.wait", c.Peers.Wait)
	line("record.dir", c.Record)
	line("record.file_mb", c.RecordLimits.File)
	line("record.total_mb", c.RecordLimits.Total)
	for i := range m.Classes {
		k := &m.Classes[i]
		line("class", k.Name)
		line("class.aim", k.Aim)
		line("class.aim_stretch", k.AimStretch)
		line("class.deadline", k.Deadline)
		line("class.worth", k.Worth)
		line("class.late_value", k.LateValue)
		line("class.effect", k.Effect == cresspass.Safe, k.Effect == cresspass.Keyed,
			k.Effect == cresspass.Unsafe)
		line("class.scope", k.Scope == cresspass.ScopeAll, k.Scope == cresspass.ScopeZone,
			k.Scope == cresspass.ScopeCell)
		line("class.window", k.Window)
		line("class.in_order", k.InOrder)
		line("class.on_kinds", k.Kinds)
		line("class.in_zones", k.Zones)
		line("class.threads", m.ClassThreads[i])
		line("class.loads", m.ClassLoads[i])
		line("class.waits", m.ClassWaits[i])
	}
	for i, name := range m.KindNames {
		line("kind", name)
		line("kind.cores", m.KindCores[i])
		line("kind.memory_mb", m.KindMemoryMB[i])
	}
	for _, t := range m.Tenants {
		line("tenant", t.Name)
		line("tenant.quota", t.Quota)
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
	line("what the module may", m.MayCancel, m.MayComeBack, m.MayTell, m.MayDuplicate, m.AskList, m.TellsCost)
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
