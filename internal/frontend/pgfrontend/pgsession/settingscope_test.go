package pgsession

import (
	"strings"
	"testing"

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
