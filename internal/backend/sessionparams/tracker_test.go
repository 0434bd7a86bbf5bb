package sessionparams

import (
	"testing"

	"pgregory.net/rapid"

	"cresspass/internal/protocol/sqlscan"
)

func TestChangeOf(t *testing.T) {
	for text, want := range map[string]Change{
		"set search_path = a, b":             {"search_path", "set search_path = a, b"},
		"SET SESSION TimeZone TO 'x=y TO z'": {"timezone", "SET SESSION TimeZone TO 'x=y TO z'"},
		"set time zone 'Europe/Paris'":       {"timezone", "set time zone 'Europe/Paris'"},
		"set time zone local":                {"timezone", ""},
		"set datestyle to default":           {"datestyle", ""},
		"reset search_path":                  {"search_path", ""},
		"reset time zone":                    {"timezone", ""},
		"reset all":                          {},
		"discard all":                        {},
	} {
		st := sqlscan.Statements(text)[0]
		if got, ok := ChangeOf(&st); !ok || got != want {
			t.Errorf("%s: %+v, %v", text, got, ok)
		}
	}
	for _, text := range []string{"set local search_path = a", "set role x", "set work_mem = '1GB'",
		"set session characteristics as transaction read only", "set my.x = 1", "reset role", "select 1",
		"set transaction read only", "discard temp", "set session authorization x"} {
		st := sqlscan.Statements(text)[0]
		if got, ok := ChangeOf(&st); ok {
			t.Errorf("%s: %+v", text, got)
		}
	}
}

// engine is what a server does with settings, by PostgreSQL's documentation, without any cleverness: each
// transaction and savepoint keeps a copy to go back to.
type engine struct {
	now   map[string]string
	saved []map[string]string // at BEGIN, then at each savepoint
}

func clone(m map[string]string) map[string]string {
	out := map[string]string{}
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (e *engine) status() byte {
	if len(e.saved) > 0 {
		return 'T'
	}
	return 'I'
}

func (e *engine) run(text string) (tag string) {
	st := sqlscan.Statements(text)[0]
	switch w := st.Words; {
	case w[0] == "BEGIN":
		if tag = "BEGIN"; len(e.saved) == 0 {
			e.saved = append(e.saved, clone(e.now))
		}
	case w[0] == "COMMIT":
		tag, e.saved = "COMMIT", nil
	case w[0] == "ROLLBACK" && w[1] == "TO":
		tag = "ROLLBACK"
		e.now = clone(e.saved[len(e.saved)-1])
	case w[0] == "ROLLBACK":
		if tag = "ROLLBACK"; len(e.saved) > 0 {
			e.now = e.saved[0]
		}
		e.saved = nil
	case w[0] == "SAVEPOINT":
		tag = "SAVEPOINT"
		e.saved = append(e.saved, clone(e.now))
	case w[0] == "DISCARD", w[0] == "RESET" && w[1] == "ALL":
		tag, e.now = w[0], map[string]string{}
		if w[0] == "DISCARD" {
			tag = "DISCARD ALL"
		}
	case w[0] == "RESET":
		tag = "RESET"
		ch, _ := ChangeOf(&st)
		delete(e.now, ch.Name)
	case w[0] == "SET":
		tag = "SET"
		ch, _ := ChangeOf(&st)
		e.now[ch.Name] = ch.Statement
	default:
		tag = "SELECT 1"
	}
	return tag
}

// A session moves over engines between its transactions; whatever it sets and takes back, each statement
// finds on its engine what one server would have had in force, as long as the track has no doubt.
func TestReplayMatchesSingleServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := &engine{now: map[string]string{}}
		engines := []*engine{}
		for range 3 {
			engines = append(engines, &engine{now: map[string]string{}})
		}
		have := make([]*Set, len(engines))
		var tr Tracker
		at := 0
		for range rapid.IntRange(1, 40).Draw(t, "statements") {
			if one.status() == 'I' {
				at = rapid.IntRange(0, len(engines)-1).Draw(t, "engine")
				for _, text := range Diff(have[at], tr.Desired()) {
					engines[at].run(text)
				}
				have[at] = tr.Desired()
				tr.ConnectionHad(have[at])
			}
			texts := []string{"set search_path = a", "set search_path = b", "set time zone 'x'",
				"reset search_path", "reset time zone", "reset all", "select 1", "begin", "commit",
				"rollback"}
			if one.status() == 'T' {
				texts = append(texts, "savepoint s", "rollback to s")
			} else {
				texts = append(texts, "discard all")
			}
			text := rapid.SampledFrom(texts).Draw(t, "text")
			if text == "rollback to s" && len(one.saved) < 2 {
				continue
			}
			for name, v := range one.now {
				if engines[at].now[name] != v {
					t.Fatalf("before %q: %s is %q, should be %q", text, name, engines[at].now[name], v)
				}
			}
			if len(one.now) != len(engines[at].now) {
				t.Fatalf("before %q: %v, should be %v", text, engines[at].now, one.now)
			}
			failed := rapid.IntRange(0, 9).Draw(t, "fails") == 0 && one.status() == 'I'
			tr.StatementsSent(sqlscan.Statements(text))
			if !failed {
				tag := one.run(text)
				engines[at].run(text)
				tr.CommandComplete(tag)
			}
			if tr.ReadyForQuery(one.status()) {
				return // in doubt the session stays where it is
			}
			if one.status() == 'I' {
				have[at] = tr.OnConnection()
			}
		}
	})
}
