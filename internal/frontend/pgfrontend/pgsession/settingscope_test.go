package pgsession

import (
	"strings"
	"testing"
	"time"

	"cresspass/internal/backend/enginequery"
)

// Guards against a setting that is lost because an earlier query was rejected before an engine ran it.
func TestRejectedQueryUndoesNoLaterSetting(t *testing.T) {
	s := New(&Config{}, 7, strings.Repeat("k", 32))
	rejected := func(s *Session) { s.QueryEnded(enginequery.Simple, failed, true) } // no engine ran it
	described := func(s *Session) {
		s.ReadyForQuery(0, enginequery.StatusIdle)
		s.QueryEnded(enginequery.DescribeStatement, nil, false)
	}
	for _, e := range []event{user, query("select 1"), rejected, query("set application_name = 'later'"),
		extended(parse("", "select n from t"), target('D', 'S', "")), described} {
		e(s)
		s.TakeQuery()
	}
	if got := s.Application(); got != "later" {
		t.Errorf("application %q", got)
	}
}

// Guards against a time limit that was set in a transaction and still holds after an error.
func TestErrorUndoesSettingsOfTransaction(t *testing.T) {
	const limit = "set statement_timeout = 50"
	for name, c := range map[string]struct {
		before []string
		want   time.Duration
	}{
		"set in the transaction": {[]string{"begin", limit}, 0},
		"set before it":          {[]string{limit, "begin"}, 50 * time.Millisecond},
		"set before a savepoint": {[]string{"begin", limit, "savepoint a"}, 50 * time.Millisecond},
		"set after a savepoint":  {[]string{"begin", "savepoint a", limit}, 0},
		"set local":              {[]string{"begin", "set local statement_timeout = 50"}, 0},
		"set local over the session's": {[]string{limit, "begin", "set local statement_timeout = 0"},
			50 * time.Millisecond},
	} {
		for _, early := range []bool{false, true} {
			s := New(&Config{}, 7, strings.Repeat("k", 32))
			user(s)
			for _, text := range c.before {
				query(text)(s)
				if s.TakeQuery() == nil { // answered here
					continue
				}
				s.CommandComplete(strings.ToUpper(strings.Fields(text)[0]))
				s.ReadyForQuery(0, enginequery.StatusInTransaction)
				s.QueryEnded(enginequery.Simple, done, false)
			}
			query("select 1")(s)
			s.TakeQuery()
			if early {
				s.AnsweredEarly(0, true)
			} else {
				s.ReadyForQuery(0, enginequery.StatusFailedTransaction)
			}
			s.QueryEnded(enginequery.Simple, failed, true)
			if got := s.StatementTimeout(); got != c.want {
				t.Errorf("%s, answered early %v: time limit %v, want %v", name, early, got, c.want)
			}
		}
	}
}
