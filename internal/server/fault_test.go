package server_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/standin"
)

// TestEngineDiesMidResponse checks that the client does not notice an engine's death before any byte of the
// response was passed on, and gets exactly one error if the engine dies later.
func TestEngineDiesMidResponse(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	for _, e := range r.Engines {
		e.SetFaults(standin.Faults{DieAfterRows: 5})
	}
	c := dialServer(t, s)
	// An engine dies after 5 rows of 20 bytes, which are still buffered, so another attempt follows on the
	// other engine. That engine has to survive: if both died, none would be left.
	r.Engines[0].SetFaults(standin.Faults{})
	seen := c.query("select 1 /*rows='20'*/")
	if countPrefix(seen, "D") != 20 || countPrefix(seen, "E") != 0 {
		t.Fatalf("response after an engine's death: got %v, want 20 rows and no error", seen)
	}
	// 50 rows of 500 bytes are more than the dispatcher buffers, so some were passed on when the engine dies.
	r.Engines[0].SetFaults(standin.Faults{DieAfterRows: 50})
	if up, _ := r.Engines[1].Up(); up {
		r.Engines[1].SetFaults(standin.Faults{DieAfterRows: 50})
	}
	before := s.Stats()
	seen = c.query("select 1 /*rows='100',row_bytes='500'*/")
	if n := countPrefix(seen, "D"); n == 0 || n > 50 || countPrefix(seen, "E") != 1 || countPrefix(seen,
		"E:08007") != 1 ||
		seen[len(seen)-2] != "E:08007" || countPrefix(seen, "C") != 0 {
		t.Fatalf("%d rows, then %v; want 1 to 50 rows, then one error 08007", n, seen[max(0, len(seen)-4):])
	}
	// The client has its response shortly before the loop handles the end of the attempt.
	eventually(t, "the attempt's end", func() bool { return s.Stats().Open == 0 })
	if after := s.Stats(); after.Attempts != before.Attempts+1 || after.Failed != before.Failed+1 {
		t.Errorf("stats %+v, then %+v; want one more attempt and one more failed query", before, after)
	}
}

// TestLateResponses checks that the client gets one response if the late response of a first attempt arrives
// together with that of a second one. It also checks that the client gets the response of an engine that has
// left the list, and that an engine that restarts at its old address serves queries.
func TestLateResponses(t *testing.T) {
	r, s := startDispatcher(t, 2, baseSettings)
	c := connect(t, s, "")
	for _, e := range r.Engines {
		e.SetFaults(standin.Faults{Hang: true})
	}
	done := make(chan error, 1)
	go func() {
		n, err := queryRowCount(t, c, "select 1 /*rows='3',cost_ms='80',work_ms='50',id='late'*/")
		if err == nil && n != 3 {
			err = fmt.Errorf("%d rows", n)
		}
		done <- err
	}()
	attempts := func() (n int) {
		for _, e := range r.Engines {
			for _, v := range e.Runs() {
				if v.ID == "late" {
					n++
				}
			}
		}
		return n
	}
	eventually(t, "a second attempt", func() bool { return attempts() == 2 })
	for _, e := range r.Engines { // both respond now
		e.SetFaults(standin.Faults{})
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n, err := queryRowCount(t, c, "select 1 /*rows='7'*/"); n != 7 || err != nil {
		t.Fatalf("next query: %d rows, %v", n, err)
	}

	go func() {
		n, err := queryRowCount(t, c, "select 1 /*rows='4',cost_ms='500',work_ms='400',id='gone'*/")
		if err == nil && n != 4 {
			err = fmt.Errorf("%d rows", n)
		}
		done <- err
	}()
	eventually(t, "it runs", func() bool { return s.Stats().Running == 1 })
	for i := range r.Engines {
		r.UpdateEngine(i, func(e *eds.Engine) { e.State = "" }) // removed from the list, but still running
	}
	if err := <-done; err != nil {
		t.Fatalf("response of an engine that has left the list: %v", err)
	}
	r.Engines[0].Crash()
	if err := r.Engines[0].Restart(); err != nil {
		t.Fatal(err)
	}
	r.UpdateEngine(0, func(e *eds.Engine) { e.State, e.Started = eds.StateActive, r.Engines[0].Started() })
	eventually(t, "the new process serves", func() bool {
		n, err := queryRowCount(t, c, "select 1 /*rows='2'*/")
		return n == 2 && err == nil
	})
}

// TestFaultyEngines checks that each query has one final response, with few exceptions that of the only good
// engine, while the other engines send malformed responses, cut them off or reject every query.
func TestFaultyEngines(t *testing.T) {
	r, s := startDispatcher(t, 4, baseSettings)
	r.Engines[0].SetFaults(standin.Faults{Garbage: true})
	r.Engines[1].SetFaults(standin.Faults{Cut: 1})
	r.Engines[2].SetFaults(standin.Faults{Full: true})
	c := connect(t, s, "")
	served := 0
	for i := range 60 {
		n, err := queryRowCount(t, c, fmt.Sprintf("select 1 /*rows='4',id='b%d'*/", i))
		switch {
		case err == nil && n == 4:
			served++
		case sqlState(err) != "53000" && sqlState(err) != "08007":
			t.Fatalf("query %d: %d rows, %v", i, n, err)
		}
	}
	if served < 50 {
		t.Errorf("served %d of 60 queries with one good engine of four, want at least 50", served)
	}
	// A write is sent at most once, with any outcome, unless the engine rejected it and it did not run.
	for i := range 20 {
		_, _ = c.Exec(context.Background(), // any outcome is allowed
			fmt.Sprintf("insert into t values (1) /*id='w%d'*/", i))
	}
	sent := map[string]int{}
	for _, e := range r.Engines {
		for _, v := range e.Runs() {
			if strings.HasPrefix(v.ID, "w") && v.Outcome != "full" {
				if sent[v.ID]++; sent[v.ID] > 1 {
					t.Errorf("%s may have run twice", v.ID)
				}
			}
		}
	}
}
