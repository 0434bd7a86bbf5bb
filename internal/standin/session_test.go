package standin_test

import (
	"context"
	"slices"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"

	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
)

// TestSettingAfterCommit checks the value of a parameter after a transaction that combines SET, SET LOCAL and
// RESET; "" stands for the default. PostgreSQL's documentation: after SET and SET LOCAL in one transaction
// the value of SET takes effect at COMMIT, and RESET is SET to the default.
func TestSettingAfterCommit(t *testing.T) {
	e, err := standin.NewEngine(standin.EngineConfig{Kind: testbed.EngineKind(8, 4096)})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	ctx := context.Background()
	c, err := pgconn.Connect(ctx, "postgres://u@"+e.Addr()+"/db?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	const set, setLocal = "set search_path = a", "set local search_path = z"
	for _, transaction := range []struct {
		statements []string
		want       string
	}{
		{[]string{set, setLocal}, "a"},
		{[]string{setLocal, set}, "a"},
		{[]string{setLocal}, ""},
		{[]string{set, setLocal, "set search_path to default"}, ""},
		{[]string{set, setLocal, "reset search_path"}, ""},
		{[]string{set, setLocal, "reset all"}, ""},
		{[]string{set, "reset search_path", setLocal}, ""},
	} {
		script := slices.Concat([]string{"reset all", "begin"}, transaction.statements, []string{"commit"})
		var shown []*pgconn.Result
		for _, text := range append(script, "show search_path") {
			if shown, err = c.Exec(ctx, text).ReadAll(); err != nil {
				t.Fatalf("%v: %s: %v", transaction.statements, text, err)
			}
		}
		if got := string(shown[0].Rows[0][1]); got != transaction.want {
			t.Errorf("after %q search_path is %q, want %q", transaction.statements, got, transaction.want)
		}
	}
}
