package server_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/standin"
)

// TestFlightStatementAfterEarlyAnswer guards against a Flight transaction that goes on while its engine still
// runs a statement that was answered with an error: the next statement would get the rows of the one before.
func TestFlightStatementAfterEarlyAnswer(t *testing.T) {
	settings := strings.Replace(flightSettings, baseSettings, earlyAnswerSettings, 1)
	r, s := startDispatcher(t, 1, settings)
	r.Engines[0].SetFaults(standin.Faults{SlowCancel: engineLag})
	for _, way := range []string{"class deadline", "cancel"} {
		for _, next := range []string{"statement", "update", "commit", "rollback"} {
			t.Run(way+", "+next, func(t *testing.T) {
				t.Parallel()
				c := dialFlight(t, s, "u")
				playFlightEarlyAnswer(t, c, way, next)
			})
		}
	}
}

func playFlightEarlyAnswer(t *testing.T, c *flightClient, way, next string) {
	tx, err := c.BeginTransaction(c.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecuteUpdate(c.ctx, "insert into t values (1)"); err != nil {
		t.Fatal(err)
	}
	slow := "select 1 /*echo='slow',work_ms='600',cost_ms='1'"
	if way == "class deadline" {
		slow += ",class='brief'"
	}
	info, err := tx.Execute(c.ctx, slow+"*/")
	if err != nil {
		t.Fatal(err)
	}
	if way == "cancel" {
		time.AfterFunc(answerWithin/2, func() {
			_, _ = c.CancelFlightInfo(c.ctx, &flight.CancelFlightInfoRequest{Info: info})
		})
	}
	begun := time.Now()
	rows, err := c.rows(c.ctx, info)
	if took := time.Since(begun); err == nil || took >= engineTime {
		t.Fatalf("answered %v, %v after %v, want an error before the engine's answer", rows, err, took)
	}
	checkFlightTransactionFailed(t, c, tx, next)
}

// checkFlightTransactionFailed checks that a transaction accepts nothing but its end.
func checkFlightTransactionFailed(t *testing.T, c *flightClient, tx *flightsql.Txn, next string) {
	t.Helper()
	const aborted = "current transaction is aborted"
	var err error
	switch next {
	case "statement":
		var info *flight.FlightInfo
		if info, err = tx.Execute(c.ctx, "select 1 /*echo='own'*/"); err == nil {
			var rows [][]string
			rows, err = c.rows(c.ctx, info)
			t.Logf("rows %v", rows)
		}
	case "update":
		_, err = tx.ExecuteUpdate(c.ctx, "insert into t values (2)")
	case "commit":
		if err := tx.Commit(c.ctx); status.Code(err) != codes.Aborted {
			t.Errorf("commit: %v, want Aborted", err)
		}
		return
	case "rollback":
		if err := tx.Rollback(c.ctx); err != nil {
			t.Errorf("rollback: %v", err)
		}
		return
	}
	if err == nil || !strings.Contains(err.Error(), aborted) {
		t.Errorf("%s: %v, want %q", next, err, aborted)
	}
	if err := tx.Rollback(context.WithoutCancel(c.ctx)); err != nil {
		t.Errorf("rollback: %v", err)
	}
}

// TestFlightCommitBehindFailingStatement guards against a transaction that is reported as committed, because
// a statement of it failed after the client had asked for the commit.
func TestFlightCommitBehindFailingStatement(t *testing.T) {
	r, s := startDispatcher(t, 1, strings.Replace(flightSettings, baseSettings, earlyAnswerSettings, 1))
	r.Engines[0].SetFaults(standin.Faults{SlowCancel: engineLag})
	c := dialFlight(t, s, "u")
	tx, err := c.BeginTransaction(c.ctx)
	if err != nil {
		t.Fatal(err)
	}
	info, err := tx.Execute(c.ctx, "select 1 /*work_ms='600',cost_ms='1',class='brief'*/")
	if err != nil {
		t.Fatal(err)
	}
	committed := make(chan error, 1)
	time.AfterFunc(answerWithin/5, func() { committed <- tx.Commit(c.ctx) })
	if _, err := c.rows(c.ctx, info); err == nil {
		t.Error("the statement was answered by its engine")
	}
	if err := <-committed; status.Code(err) != codes.Aborted {
		t.Errorf("commit: %v, want Aborted", err)
	}
	for _, run := range r.Engines[0].Runs() {
		if run.Class == "COMMIT" {
			t.Error("the engine has committed the transaction")
		}
	}
}

// TestFlightCommitUndecided guards against a Flight transaction that is reported as rolled back or refused
// while its COMMIT is out and takes effect.
func TestFlightCommitUndecided(t *testing.T) {
	settings := strings.Replace(flightSettings, baseSettings, earlyAnswerSettings, 1)
	settings = strings.Replace(settings, "class \"write\" {\n  aim      = \"4s\"\n  deadline = \"5s\"",
		"class \"write\" {\n  aim      = \"2s\"\n  deadline = \"2s\"", 1)
	r := startEngines(t, 1)
	link := newSilentLink(t, r.Engines[0].Addr())
	r.UpdateEngine(0, func(e *eds.Engine) { e.Address = link.addr() })
	s, err := r.StartDispatcher(settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := dialFlight(t, s, "u")
	tx, err := c.BeginTransaction(c.ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.ExecuteUpdate(c.ctx, "insert into t values (1)"); err != nil {
		t.Fatal(err)
	}
	link.silent.Store(true)
	begun := time.Now()
	err = tx.Commit(c.ctx)
	if err == nil || !strings.Contains(err.Error(), "has not answered COMMIT") {
		t.Errorf("commit: %v, want that its end is not known", err)
	}
	if took := time.Since(begun); took > 3*time.Second {
		t.Errorf("answered after %v, long after the deadline", took)
	}
	link.silent.Store(false)
	eventually(t, "the engine has ended the session", func() bool { return r.Engines[0].Sessions() == 0 })
	committed := 0
	for _, run := range r.Engines[0].Runs() {
		if run.Class == "COMMIT" {
			committed++
		}
	}
	if committed != 1 {
		t.Errorf("committed %d times", committed)
	}
}
