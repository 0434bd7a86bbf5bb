package server_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
)

// TestDispatcherSettingsEnd guards against two faults of the settings that the dispatcher keeps: a setting
// still applies after the RESET, DISCARD ALL, ROLLBACK or end of transaction that ends it, or is lost at one
// of these that does not end it.
func TestDispatcherSettingsEnd(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings)
	const options = "&application_name=started&statement_timeout=9s"
	for _, c := range []struct{ statements, timeout, application string }{
		{"", "9000ms", "started"},
		{"set statement_timeout='50ms';; set application_name='first';; discard all", "9000ms", "started"},
		{"set statement_timeout='50ms';; set application_name='first';; reset all", "9000ms", "started"},
		{"set statement_timeout='50ms';; set datestyle='German';; discard all", "9000ms", "started"},
		{"set application_name='first';; set datestyle='German';; reset all", "9000ms", "started"},
		{"set statement_timeout=1;; set application_name='x';; set datestyle='German';;" +
			" reset statement_timeout", "9000ms", "x"},
		{"set application_name='x';; reset application_name", "9000ms", "started"},
		{"set statement_timeout=8000;; set statement_timeout to default", "9000ms", "started"},
		{"set application_name='x';; begin;; set application_name='y';; commit", "9000ms", "y"},
		{"set application_name='x';; begin;; set application_name='y';; rollback", "9000ms", "x"},
		{"begin;; set local statement_timeout='7s'", "7000ms", "started"},
		{"begin;; set local statement_timeout='7s';; commit", "9000ms", "started"},
		{"begin;; set statement_timeout='6s';; set local statement_timeout='7s';; commit",
			"6000ms", "started"},
		{"begin;; set local statement_timeout='7s';; set statement_timeout='6s';; commit",
			"6000ms", "started"},
		{"begin;; set application_name='x';; savepoint a;; set application_name='y';; rollback to a",
			"9000ms", "x"},
		{"begin;; set application_name='x';; savepoint a;; set application_name='y';; rollback to a;; commit",
			"9000ms", "x"},
		{"set application_name='x';; begin;; reset all;; rollback", "9000ms", "x"},
		{"set application_name='x';; set application_name='y'; set statement_timeout='bad'", "9000ms", "x"},
		{"set application_name='x'; select 'syntax error'", "9000ms", "started"},
		{"set application_name='x'; select 1", "9000ms", "x"},
		{"begin;; set application_name='x';; select 'syntax error';; rollback", "9000ms", "started"},
	} {
		conn := connect(t, s, options)
		for _, text := range strings.Split(c.statements, ";;") {
			// Some cases include an error. Only the settings that apply afterwards are checked.
			_, _ = conn.PgConn().Exec(context.Background(), text).ReadAll()
		}
		timeout, timeoutErr := showSetting(context.Background(), conn, "statement_timeout")
		application, applicationErr := showSetting(context.Background(), conn, "application_name")
		if timeout != c.timeout || application != c.application ||
			timeoutErr != nil || applicationErr != nil {
			t.Errorf("%s: timeout %q, application %q (%v, %v), want %q and %q", c.statements, timeout,
				application, timeoutErr, applicationErr, c.timeout, c.application)
		}
	}
}

// TestPoolUsersDoNotShareSettings guards against timeouts and settings of one user of a connection pool that
// still apply to the next user.
func TestPoolUsersDoNotShareSettings(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings)
	ctx := context.Background()
	cfg, err := pgxpool.ParseConfig(connectionString(s, "&pool_max_conns=1"))
	if err != nil {
		t.Fatal(err)
	}
	cfg.AfterRelease = func(c *pgx.Conn) bool {
		_, err := c.Prepare(ctx, "discard", "discard all")
		if err == nil {
			_, err = c.Exec(ctx, "discard")
		}
		return err == nil && c.DeallocateAll(ctx) == nil
	}
	pool, err := pgxpool.NewWithConfig(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	for range 3 {
		first, err := pool.Acquire(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range []string{"set statement_timeout = '50ms'", "set datestyle = 'German'"} {
			if _, err := first.Exec(ctx, text); err != nil {
				t.Fatal(err)
			}
		}
		first.Release()
		if _, err := pool.Exec(ctx, "select 1 /*work_ms='300'*/"); err != nil {
			t.Errorf("the next user's query: %v", err)
		}
	}
}

// TestPreparedDiscardSeesLaterSettings guards against a prepared RESET ALL that resets only the settings that
// applied when it was prepared.
func TestPreparedDiscardSeesLaterSettings(t *testing.T) {
	_, s := startDispatcher(t, 2, baseSettings)
	c := connect(t, s, "")
	ctx := context.Background()
	if _, err := c.Prepare(ctx, "discard", "reset all"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Exec(ctx, "set search_path = other"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Exec(ctx, "discard"); err != nil {
		t.Fatal(err)
	}
	if got, err := showSetting(ctx, c, "search_path"); got != "" || err != nil {
		t.Errorf("after RESET ALL: search_path %q, %v", got, err)
	}
}
