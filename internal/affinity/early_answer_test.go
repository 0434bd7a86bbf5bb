package affinity

import (
	"testing"

	"cresspass/internal/protocol/sqlscan"
)

// TestAnsweredEarly guards against a session whose client stays in a transaction after an error, or is
// informed that a transaction has failed whose COMMIT may have taken effect.
func TestAnsweredEarly(t *testing.T) {
	for _, c := range []struct {
		before string // a statement that has completed, with its status
		tag    string
		status byte
		text   string // the statement that is answered early
		ran    bool
		want   byte
		known  bool
		bound  bool
	}{
		{"begin", "BEGIN", 'T', "select 1", true, 'E', true, true},
		{"begin", "BEGIN", 'T', "select 1", false, 'E', true, true},
		{"begin", "BEGIN", 'T', "set search_path = a", true, 'E', true, true},
		{"begin", "BEGIN", 'T', "savepoint a", true, 'E', true, true},
		{"begin", "BEGIN", 'T', "rollback to savepoint a", true, 'E', true, true},
		{"begin", "BEGIN", 'T', "commit", true, 'I', true, false},
		{"begin", "BEGIN", 'T', "insert into t values (1); end", true, 'I', true, false},
		{"begin", "BEGIN", 'T', "commit and chain", true, 'I', true, false},
		{"begin", "BEGIN", 'T', "prepare transaction 'x'", true, 'I', true, false},
		{"begin", "BEGIN", 'T', "commit", false, 'E', true, true}, // it will not reach the engine
		{"begin", "BEGIN", 'T', "rollback", true, 'I', true, false},
		{"begin", "BEGIN", 'T', "abort", false, 'E', true, true},
		{"begin; set search_path = a", "BEGIN", 'T', "commit", true, 'I', false, false},
		{"begin; set search_path = a", "BEGIN", 'T', "rollback", true, 'I', true, false},
		{"begin; create temp table t (a int)", "BEGIN", 'T', "commit", true, 'I', true, true},
		{"select bad", "", 'E', "select 1", true, 'E', true, true},
		{"select bad", "", 'E', "rollback", true, 'I', true, false},
		{"create temp table t (a int)", "CREATE TABLE", 'I', "select 1", true, 'I', true, true},
		{"create temp table t (a int)", "CREATE TABLE", 'I', "discard all", true, 'I', false, true},
		{"create temp table t (a int)", "CREATE TABLE", 'I', "set search_path = a", true, 'I', false, true},
		{"create temp table t (a int)", "CREATE TABLE", 'I', "set search_path = a", false, 'I', true, true},
	} {
		s := NewSession()
		s.StatementsSent(sqlscan.Statements(c.before))
		if c.tag != "" {
			s.CommandComplete(c.tag)
			for range sqlscan.Statements(c.before)[1:] {
				s.CommandComplete("SET")
			}
		}
		s.ReadyForQuery(0, c.status)
		s.StatementsSent(sqlscan.Statements(c.text))
		_, known := s.AnsweredEarly(0, c.ran)
		if s.Status() != c.want || known != c.known || known && s.Bound() != c.bound {
			t.Errorf("%s, then %s, ran %v: status %c, known %v, bound %v, want %c, %v, %v", c.before, c.text,
				c.ran, s.Status(), known, s.Bound(), c.want, c.known, c.bound)
		}
		if s.CommitSent() {
			t.Errorf("%s, then %s: a COMMIT counts as sent after its answer", c.before, c.text)
		}
	}
}

// TestDrainEndsSessionOverCommit guards against a transaction that is reported as rolled back while its
// COMMIT is without an answer, because the engine drains.
func TestDrainEndsSessionOverCommit(t *testing.T) {
	for text, want := range map[string]string{"commit": "08007", "select 1": "57P01", "rollback": "57P01"} {
		s := NewSession()
		runStatement(s, "begin", "BEGIN", 'T')
		s.StatementsSent(sqlscan.Statements(text))
		s.StartDrain(1)
		if e, due := s.Expire(1, true, Limits{}); !due || e.Code != want {
			t.Errorf("%s: %+v, want %s", text, e, want)
		}
	}
}
