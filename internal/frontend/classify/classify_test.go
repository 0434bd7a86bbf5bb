package classify

import (
	"testing"
	"time"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/config"
	"cresspass/internal/protocol/sqlscan"
)

const settings = `
default_class  = "short"
write_class    = "once"
describe_class = "shape"
roster { eds = "127.0.0.1:1" }
kind "std" { cores = 8 }
class "short" {
  aim = "1s"
  deadline = "5s"
  effect = "safe"
}
class "shape" {
  aim = "1s"
  deadline = "2s"
  effect = "safe"
}
class "long" {
  aim = "9s"
  deadline = "20s"
  effect = "safe"
}
class "once" {
  aim = "9s"
  deadline = "20s"
  effect = "unsafe"
}
tenant "t" { quota = 5 }
match {
  class = "long"
  user  = "batch"
}
match {
  class   = "long"
  pattern = "(?i)group by"
}
match {
  tenant   = "t"
  database = "d"
}
`

// Tags go before matches, matches in their order before the default; what may write is never in a class that
// repeats.
func TestClassOfStatement(t *testing.T) {
	cfg, err := config.Parse("c.hcl", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	c := New(cfg)
	for _, v := range []struct {
		who    Client
		kind   enginequery.Kind
		text   string
		class  string // "!": a fault
		left   time.Duration
		tenant string
	}{
		{Client{}, enginequery.Simple, "select 1", "short", 5 * time.Second, ""},
		{Client{User: "batch"}, enginequery.Simple, "select 1", "long", 20 * time.Second, ""},
		{Client{Database: "d"}, enginequery.Simple, "select a from b group by a", "long", 20 * time.Second, "t"},
		{Client{User: "batch"}, enginequery.Simple, "select 1 /*class='short'*/", "short", 5 * time.Second, ""},
		{Client{}, enginequery.Simple, "select 1 /*class='none'*/", "!", 0, ""},
		{Client{}, enginequery.Simple, "insert into t values (1)", "once", 20 * time.Second, ""},
		{Client{}, enginequery.Simple, "insert into t values (1) /*class='short'*/", "once", 20 * time.Second,
			""},
		{Client{}, enginequery.Execute, "with x as (delete from t returning 1) select * from x", "once",
			20 * time.Second, ""},
		{Client{}, enginequery.Simple, "select 'insert into' from t for update", "short", 5 * time.Second, ""},
		{Client{}, enginequery.DescribeStatement, "insert into t values (1)", "shape", 2 * time.Second, ""},
		{Client{Timeout: time.Second}, enginequery.Simple, "select 1", "short", time.Second, ""},
		{Client{Timeout: time.Second}, enginequery.Simple, "select 1 /*wait_ms='250'*/", "short",
			250 * time.Millisecond, ""},
		{Client{}, enginequery.Simple, "select 1 /*wait_ms='99999'*/", "short", 5 * time.Second, ""},
	} {
		a := &enginequery.Query{Kind: v.kind, Text: v.text, Parsed: sqlscan.Statements(v.text)}
		ev, fault := c.Classify(1, v.who, a)
		if v.class == "!" {
			if fault == nil {
				t.Errorf("%s: class %q, want a fault", v.text, ev.Class)
			}
			continue
		}
		if ev.AddsNoRetryBudget != (v.kind == enginequery.DescribeStatement) {
			t.Errorf("%s: uncounted %v", v.text, ev.AddsNoRetryBudget)
		}
		if fault != nil || ev.Class != v.class || ev.RemainingDeadline != v.left || ev.Tenant != v.tenant {
			t.Errorf(
				"%s by %+v: class %q, %v, tenant %q, fault %v",
				v.text,
				v.who,
				ev.Class,
				ev.RemainingDeadline,
				ev.Tenant,
				fault,
			)
		}
	}
	ev, _ := c.Classify(1, Client{}, &enginequery.Query{
		Text: "select 1 /*key='a%2Fb',tables='7',cost_ms='20',memory_mb='x',repeat='1'*/"})
	if ev.Key != "a/b" || ev.TableGroup != 7 || !ev.HasCostEstimate || ev.CostEstimate != 20*time.Millisecond ||
		ev.MemoryEstimateMB != 0 ||
		!ev.IsRetry {
		t.Errorf("tags read as %+v", ev)
	}
}
