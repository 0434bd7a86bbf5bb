// Package sessionparams keeps the settings of a client's session that are replayed on whatever engine
// connection runs its next statement, so that a SET of them does not tie the session to one engine. It
// decides which settings those are, when a SET of theirs has come into force, and what a connection has to
// be told. It does no I/O.
//
// A SET counts once the engine says so: outside a transaction at its CommandComplete and the ReadyForQuery
// behind it, in one at COMMIT ("SET": "the effects ... disappear when the transaction is rolled back").
package sessionparams

import (
	"slices"
	"sort"
	"strings"

	"cresspass/internal/protocol/sqlscan"
)

// replayedSettings are the settings that mean the same on every engine and say nothing of one engine's own
// state. All others tie the session to the engine that was told.
var replayedSettings = map[string]bool{"search_path": true, "timezone": true, "datestyle": true,
	"intervalstyle": true, "extra_float_digits": true, "bytea_output": true, "xmlbinary": true,
	"xmloption": true, "standard_conforming_strings": true, "backslash_quote": true,
	"escape_string_warning": true, "default_transaction_isolation": true,
	"default_transaction_read_only": true, "default_transaction_deferrable": true, "lock_timeout": true,
	"client_min_messages": true, "lc_monetary": true, "lc_numeric": true, "lc_time": true,
	"lc_messages": true, "default_text_search_config": true, "row_security": true,
	"check_function_bodies": true, "transform_null_equals": true, "quote_all_identifiers": true,
	"jit": true, "geqo": true, "enable_seqscan": true, "enable_hashjoin": true, "enable_mergejoin": true,
	"enable_nestloop": true, "enable_indexscan": true, "max_parallel_workers_per_gather": true}

// reportedNames are those of which an engine tells its client ("Asynchronous Operations": ParameterStatus).
var reportedNames = map[string]string{"timezone": "TimeZone", "datestyle": "DateStyle",
	"intervalstyle": "IntervalStyle", "standard_conforming_strings": "standard_conforming_strings",
	"default_transaction_read_only": "default_transaction_read_only"}

// Replayed reports whether a setting, by its name in lower case, is replayed.
func Replayed(name string) bool { return replayedSettings[name] }

// Reported returns the name under which a client is told of a setting; "": it is not.
func Reported(name string) string { return reportedNames[name] }

// Param is a setting with the statement that puts it in force.
type Param struct{ Name, Statement string }

// Set is the settings in force, by name. It is never changed; nil holds none.
type Set struct{ list []Param }

// Statement is the statement that puts a setting in force; "": the engine's default holds.
func (s *Set) Statement(name string) string {
	if s != nil {
		for _, p := range s.list {
			if p.Name == name {
				return p.Statement
			}
		}
	}
	return ""
}

// With returns a set with a setting changed; text "" takes it out.
func (s *Set) With(name, text string) *Set {
	if s.Statement(name) == text {
		return s
	}
	var list []Param
	if s != nil {
		list = slices.Clone(s.list)
	}
	i := sort.Search(len(list), func(i int) bool { return list[i].Name >= name })
	there := i < len(list) && list[i].Name == name
	switch {
	case text == "":
		list = slices.Delete(list, i, i+1)
	case there:
		list[i].Statement = text
	default:
		list = slices.Insert(list, i, Param{name, text})
	}
	if len(list) == 0 {
		return nil
	}
	return &Set{list}
}

// Diff returns the statements that turn a connection that has one set into one that has another.
func Diff(have, want *Set) (out []string) {
	if have == want {
		return nil
	}
	if have != nil {
		for _, p := range have.list {
			if want.Statement(p.Name) == "" {
				out = append(out, "RESET "+p.Name)
			}
		}
	}
	if want != nil {
		for _, p := range want.list {
			if have.Statement(p.Name) != p.Statement {
				out = append(out, p.Statement)
			}
		}
	}
	return out
}

// SetConfigStatement returns the statement that sets a setting to a value as a startup packet gives it,
// where lists are lists and not one text.
func SetConfigStatement(name, value string) string {
	value = strings.NewReplacer(`\`, `\\`, `'`, `''`).Replace(value)
	return "SELECT pg_catalog.set_config('" + name + "', E'" + value + "', false)"
}

// Change is what one statement does to the settings.
type Change struct {
	Name      string // "": all
	Statement string // "": back to the default
}

// ChangeOf returns what a statement changes of the settings that are replayed. ok is false for one that
// changes nothing, or something else.
func ChangeOf(st *sqlscan.Statement) (ch Change, ok bool) {
	w := st.Words
	switch w[0] {
	case "DISCARD":
		return Change{}, w[1] == "ALL"
	case "RESET":
		if w[1] == "ALL" {
			return Change{}, true
		}
		ch.Name = strings.ToLower(w[1])
		if w[1] == "TIME" && w[2] == "ZONE" {
			ch.Name = "timezone"
		}
		return ch, replayedSettings[ch.Name]
	case "SET":
	default:
		return ch, false
	}
	name, value, ok := ParseAssignment(st)
	if !ok || w[1] == "LOCAL" || !replayedSettings[name] {
		return ch, false
	}
	ch = Change{Name: name, Statement: st.Text}
	if v := strings.TrimSpace(value); strings.EqualFold(v, "default") ||
		name == "timezone" && strings.EqualFold(v, "local") {
		ch.Statement = ""
	}
	return ch, true
}

// ParseAssignment splits a SET into its setting's name in lower case and the text of its value ("SET").
func ParseAssignment(st *sqlscan.Statement) (name, value string, ok bool) {
	rest := strings.TrimSpace(st.Text[len("SET"):])
	for _, word := range []string{"SESSION", "LOCAL"} {
		if n := len(word); len(rest) > n && strings.EqualFold(rest[:n], word) &&
			strings.ContainsRune(" \t\r\n", rune(rest[n])) {
			rest = strings.TrimSpace(rest[n:])
			break
		}
	}
	name, value, ok = strings.Cut(rest, "=")
	if up := strings.ToUpper(rest); !ok || strings.ContainsAny(strings.TrimSpace(name), " \t\r\n'") {
		name, value, ok = "", "", false
		f := strings.Fields(up)
		switch {
		case len(f) > 2 && f[0] == "TIME" && f[1] == "ZONE":
			at := strings.Index(up, "ZONE") + len("ZONE")
			name, value, ok = "timezone", rest[at:], true
		case len(f) > 1 && f[0] == "NAMES":
			name, value, ok = "client_encoding", rest[len("NAMES"):], true
		case len(f) > 2 && f[1] == "TO":
			at := len(f[0])
			at += strings.Index(up[at:], "TO") + len("TO")
			name, value, ok = rest[:len(f[0])], rest[at:], true
		}
	}
	name = strings.ToLower(strings.Trim(strings.TrimSpace(name), `"`))
	return name, strings.TrimSpace(value), ok
}

// Tracker follows a session's settings. The zero value has none.
type Tracker struct {
	startup      *Set // of the startup packet: what a RESET goes back to
	desired      *Set // in force for the session
	onConnection *Set // in force on the connection that ran its last statement

	pendingInTx    []Change // of the open transaction
	pendingInQuery []Change // of the query that is out
	sent           []sqlscan.Statement
	completed      int
	uncertain      bool
}

// Inherit begins with settings that another track has in force.
func (t *Tracker) Inherit(s *Set) { t.startup, t.desired, t.onConnection = s, s, s }

// ResetSetting takes back a setting that Start took.
func (t *Tracker) ResetSetting(name string) {
	t.startup = t.startup.With(name, "")
	t.desired = t.desired.With(name, "")
}

// ChangeSetting takes a setting as Start does, in a session under way: other settings stay as they are.
func (t *Tracker) ChangeSetting(name, value string) {
	t.startup = t.startup.With(name, SetConfigStatement(name, value))
	t.desired = t.desired.With(name, SetConfigStatement(name, value))
}

// SetAtStartup takes a setting of the startup packet.
func (t *Tracker) SetAtStartup(name, value string) {
	t.startup = t.startup.With(name, SetConfigStatement(name, value))
	t.desired, t.onConnection = t.startup, t.startup
}

// Desired is what is in force for the session.
func (t *Tracker) Desired() *Set { return t.desired }

// OnConnection is what the connection of its last statement has, which differs where a RESET went back to
// what the engine holds for the default and not the startup packet.
func (t *Tracker) OnConnection() *Set { return t.onConnection }

// Unchanged reports whether the session has just what its startup packet asked for.
func (t *Tracker) Unchanged() bool { return t.desired == t.startup }

// StatementsSent takes the statements of a query that goes out.
func (t *Tracker) StatementsSent(all []sqlscan.Statement) {
	t.sent, t.completed, t.pendingInQuery = all, 0, nil
}

// CommandComplete takes the CommandComplete of the next statement sent.
func (t *Tracker) CommandComplete(tag string) {
	if t.completed >= len(t.sent) {
		return
	}
	st := &t.sent[t.completed]
	t.completed++
	switch {
	case tag == "COMMIT":
		t.apply(t.pendingInTx)
		t.apply(t.pendingInQuery)
		t.pendingInTx, t.pendingInQuery = nil, nil
	case tag == "ROLLBACK" && rollsBackToSavepoint(st):
		// Danger: what was set after the savepoint is gone, what was set before it is not.
		t.uncertain = t.uncertain || len(t.pendingInTx)+len(t.pendingInQuery) > 0
	case tag == "ROLLBACK":
		t.pendingInTx, t.pendingInQuery, t.uncertain = nil, nil, false
	default:
		if ch, ok := ChangeOf(st); ok {
			t.pendingInQuery = append(slices.Clip(t.pendingInQuery), ch)
		}
	}
}

// rollsBackToSavepoint reports whether a ROLLBACK goes back to a savepoint only.
func rollsBackToSavepoint(st *sqlscan.Statement) bool {
	return st.Words[1] == "TO" || st.Words[2] == "TO"
}

func (t *Tracker) apply(all []Change) {
	for _, ch := range all {
		switch {
		case ch.Name == "":
			t.desired, t.onConnection = t.startup, nil
		case ch.Statement == "":
			t.desired, t.onConnection = t.desired.With(
				ch.Name,
				t.startup.Statement(ch.Name),
			), t.onConnection.With(
				ch.Name,
				"",
			)
		default:
			t.desired, t.onConnection = t.desired.With(
				ch.Name,
				ch.Statement,
			), t.onConnection.With(
				ch.Name,
				ch.Statement,
			)
		}
	}
}

// ConnectionHad tells what the connection of the query had before it.
func (t *Tracker) ConnectionHad(have *Set) { t.onConnection = have }

// ReadyForQuery takes the ReadyForQuery of the query. doubt says that it is not known what is in force: the
// session is to stay where it is.
func (t *Tracker) ReadyForQuery(status byte) (doubt bool) {
	switch {
	case status != 'I':
		t.pendingInTx = append(slices.Clip(t.pendingInTx), t.pendingInQuery...)
	case t.completed >= len(t.sent): // else an error took back what the text had set outside a transaction
		doubt = t.uncertain || len(t.pendingInTx) > 0
		t.apply(t.pendingInQuery)
		t.pendingInTx, t.uncertain = nil, false
	default:
		doubt = t.uncertain || len(t.pendingInTx) > 0
		t.pendingInTx, t.uncertain = nil, false
	}
	t.sent, t.pendingInQuery = nil, nil
	return doubt
}

// Reset tells that what was sent did not run, and that an open transaction is gone.
func (t *Tracker) Reset() {
	t.pendingInTx, t.pendingInQuery, t.sent, t.uncertain = nil, nil, nil, false
}
