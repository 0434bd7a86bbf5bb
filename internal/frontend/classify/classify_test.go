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

// rejected is the expected class, in a test table, of a statement that is rejected.
const rejected = "!"

// TestClassOfStatement checks that tags take precedence over match rules, and match rules, in their order,
// over the default class, and that a statement that may write never gets an idempotent class.
func TestClassOfStatement(t *testing.T) {
	cfg, err := config.Parse("c.hcl", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	c := New(cfg)
	const simple, execute, describe = enginequery.Simple, enginequery.Execute, enginequery.DescribeStatement
	for _, v := range []struct {
		client   Client
		kind     enginequery.Kind
		text     string
		class    string
		deadline time.Duration
		tenant   string
	}{
		{Client{}, simple, "select 1", "short", 5 * time.Second, ""},
		{Client{User: "batch"}, simple, "select 1", "long", 20 * time.Second, ""},
		{Client{Database: "d"}, simple, "select a from b group by a", "long", 20 * time.Second, "t"},
		{Client{User: "batch"}, simple, "select 1 /*class='short'*/", "short", 5 * time.Second, ""},
		{Client{}, simple, "select 1 /*class='none'*/", rejected, 0, ""},
		{Client{}, simple, "insert into t values (1)", "once", 20 * time.Second, ""},
		{Client{}, simple, "insert into t values (1) /*class='short'*/", "once", 20 * time.Second, ""},
		{Client{}, execute, "with x as (delete from t returning 1) select * from x", "once",
			20 * time.Second, ""},
		{Client{}, simple, "select 'insert into' from t for update", "short", 5 * time.Second, ""},
		{Client{}, describe, "insert into t values (1)", "shape", 2 * time.Second, ""},
		{Client{Timeout: time.Second}, simple, "select 1", "short", time.Second, ""},
		{Client{Timeout: time.Second}, simple, "select 1 /*wait_ms='250'*/", "short",
			250 * time.Millisecond, ""},
		{Client{}, simple, "select 1 /*wait_ms='99999'*/", "short", 5 * time.Second, ""},
	} {
		query := &enginequery.Query{Kind: v.kind, Text: v.text, Parsed: sqlscan.Statements(v.text)}
		event, err := c.Classify(1, v.client, query)
		if v.class == rejected {
			if err == nil {
				t.Errorf("%s: class %q, want an error", v.text, event.Class)
			}
			continue
		}
		if event.AddsNoRetryBudget != (v.kind == describe) {
			t.Errorf("%s: adds no retry budget: %v", v.text, event.AddsNoRetryBudget)
		}
		if err != nil || event.Class != v.class || event.RemainingDeadline != v.deadline ||
			event.Tenant != v.tenant {
			t.Errorf("%s by %+v: class %q, %v, tenant %q, error %v", v.text, v.client, event.Class,
				event.RemainingDeadline, event.Tenant, err)
		}
	}
}

// TestTags checks that the tags of a comment are read, and that numeric tags with invalid values are ignored.
func TestTags(t *testing.T) {
	cfg, err := config.Parse("c.hcl", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	event, _ := New(cfg).Classify(1, Client{}, &enginequery.Query{
		Text: "select 1 /*key='a%2Fb',tables='7',cost_ms='20',memory_mb='x',repeat='1'*/"})
	if event.Key != "a/b" || event.TableGroup != 7 || !event.HasCostEstimate ||
		event.CostEstimate != 20*time.Millisecond || event.MemoryEstimateMB != 0 || !event.IsRetry {
		t.Errorf("tags read as %+v", event)
	}
}
