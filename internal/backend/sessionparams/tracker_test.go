package sessionparams

import (
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cresspass/internal/protocol/sqlscan"
)

// TestChangeOf checks which statements change a replayed setting and which do not.
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

// modelServer models how a server handles settings according to PostgreSQL's documentation. Each transaction
// and savepoint keeps a copy of the settings to roll back to.
type modelServer struct {
	settings map[string]string
	saved    []map[string]string // at BEGIN, then at each savepoint
}

func (m *modelServer) status() byte {
	if len(m.saved) > 0 {
		return 'T'
	}
	return 'I'
}

func (m *modelServer) run(text string) (tag string) {
	st := sqlscan.Statements(text)[0]
	switch w := st.Words; {
	case w[0] == "BEGIN":
		if tag = "BEGIN"; len(m.saved) == 0 {
			m.saved = append(m.saved, maps.Clone(m.settings))
		}
	case w[0] == "COMMIT":
		tag, m.saved = "COMMIT", nil
	case w[0] == "ROLLBACK" && w[1] == "TO":
		tag = "ROLLBACK"
		m.settings = maps.Clone(m.saved[len(m.saved)-1])
	case w[0] == "ROLLBACK":
		if tag = "ROLLBACK"; len(m.saved) > 0 {
			m.settings = m.saved[0]
		}
		m.saved = nil
	case w[0] == "SAVEPOINT":
		tag = "SAVEPOINT"
		m.saved = append(m.saved, maps.Clone(m.settings))
	case w[0] == "DISCARD", w[0] == "RESET" && w[1] == "ALL":
		tag, m.settings = w[0], map[string]string{}
		if w[0] == "DISCARD" {
			tag = "DISCARD ALL"
		}
	case w[0] == "RESET":
		tag = "RESET"
		ch, _ := ChangeOf(&st)
		delete(m.settings, ch.Name)
	case w[0] == "SET":
		tag = "SET"
		ch, _ := ChangeOf(&st)
		m.settings[ch.Name] = ch.Statement
	default:
		tag = "SELECT 1"
	}
	return tag
}

// TestReplayMatchesSingleServer: a session moves between engines between its transactions. After any sequence
// of SETs and RESETs, each statement runs on its engine with the settings that would be active on a single
// server, as long as the tracker is certain of them.
func TestReplayMatchesSingleServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single := &modelServer{settings: map[string]string{}}
		engines := []*modelServer{}
		for range 3 {
			engines = append(engines, &modelServer{settings: map[string]string{}})
		}
		have := make([]*Set, len(engines))
		var tracker Tracker
		at := 0
		for range rapid.IntRange(1, 40).Draw(t, "statements") {
			if single.status() == 'I' {
				at = rapid.IntRange(0, len(engines)-1).Draw(t, "engine")
				for _, text := range Diff(have[at], tracker.Desired()) {
					engines[at].run(text)
				}
				have[at] = tracker.Desired()
				tracker.ConnectionHad(have[at])
			}
			texts := []string{"set search_path = a", "set search_path = b", "set time zone 'x'",
				"reset search_path", "reset time zone", "reset all", "select 1", "begin", "commit",
				"rollback"}
			if single.status() == 'T' {
				texts = append(texts, "savepoint s", "rollback to s")
			} else {
				texts = append(texts, "discard all")
			}
			text := rapid.SampledFrom(texts).Draw(t, "text")
			if text == "rollback to s" && len(single.saved) < 2 {
				continue
			}
			for name, v := range single.settings {
				if engines[at].settings[name] != v {
					t.Fatalf("before %q: %s is %q, should be %q", text, name, engines[at].settings[name], v)
				}
			}
			if len(single.settings) != len(engines[at].settings) {
				t.Fatalf("before %q: %v, should be %v", text, engines[at].settings, single.settings)
			}
			failed := rapid.IntRange(0, 9).Draw(t, "fails") == 0 && single.status() == 'I'
			tracker.StatementsSent(sqlscan.Statements(text))
			if !failed {
				tag := single.run(text)
				engines[at].run(text)
				tracker.CommandComplete(tag)
			}
			if tracker.ReadyForQuery(single.status()) {
				return // uncertain: the session stays on its connection
			}
			if single.status() == 'I' {
				have[at] = tracker.OnConnection()
			}
		}
	})
}

// TestParseAssignment guards against a panic that ended the process: the name and the value were cut out of a
// SET by positions in its upper case, which can be longer than the text.
func TestParseAssignment(t *testing.T) {
	type assignment struct {
		name, value string
		ok          bool
	}
	for text, want := range map[string]assignment{
		"set ɐɐɐɐɐɐɐɐɐɐ.x to 1":       {"ɐɐɐɐɐɐɐɐɐɐ.x", "1", true},
		"set ɐ.x  TO\t'to to'":        {"ɐ.x", "'to to'", true},
		"set x to ɐɐɐ":                {"x", "ɐɐɐ", true},
		"set ŉ to ŉ":                  {"ŉ", "ŉ", true},
		"set total to 1":              {"total", "1", true},
		"set session time zone 'ɐ b'": {"timezone", "'ɐ b'", true},
		"set local names 'ɐ'":         {"client_encoding", "'ɐ'", true},
		"set ɐ = to":                  {"ɐ", "to", true},
		"set ɐ to":                    {"", "", false},
		"set ɐ":                       {"", "", false},
		"set names":                   {"", "", false},
		"set nameſ 'utf8'":            {"", "", false},
		"set ɐ t\xff 1":               {"", "", false},
	} {
		st := sqlscan.Statements(text)[0]
		name, value, ok := ParseAssignment(&st)
		if got := (assignment{name, value, ok}); got != want {
			t.Errorf("%s: %+v, want %+v", text, got, want)
		}
	}
}

// FuzzChangeOf checks that no SET ends the process, and that a value is a part of its statement's text.
func FuzzChangeOf(f *testing.F) {
	for _, text := range []string{"set ɐ to 1", "SET SESSION a=b", "set time zone x", "set names\x85 x"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for _, st := range sqlscan.Statements(text) {
			ChangeOf(&st)
			if st.Words[0] != "SET" {
				continue
			}
			if _, value, ok := ParseAssignment(&st); ok && !strings.Contains(st.Text, value) {
				t.Errorf("%q: value %q", st.Text, value)
			}
		}
	})
}
