package server_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"cresspass/internal/standin"
)

// Settings that are replayed do not make a session sticky: each of its statements finds them on any engine,
// and nobody else's does. What was rolled back, or failed, is not in force; a wrong value of the startup
// packet is the engine's error at each statement, and no query runs without its session's settings.
func TestSettingsAreReplayed(t *testing.T) {
	r, s := startDispatcher(t, 3, baseSettings)
	sessions := []*wireClient{dialServer(t, s), dialServer(t, s), dialServer(t, s)}
	simpleQuery := func(c *wireClient, text string) []string {
		c.send(&pgproto3.Query{String: text})
		return c.readUntil("Z")
	}
	simpleQuery(sessions[0], "set search_path = a, b")
	simpleQuery(sessions[1], "set search_path = c")
	if seen := simpleQuery(sessions[1], "set time zone 'Asia/Tokyo'"); countPrefix(
		seen,
		"ParameterStatus",
	) != 1 {
		t.Errorf("the engine's report of a setting was not forwarded: %v", seen)
	}
	simpleQuery(sessions[2], "begin; set search_path = d; rollback")
	simpleQuery(sessions[2], "set search_path = e; select 'syntax error'")
	simpleQuery(sessions[2], "set datestyle = wrong")
	if n := s.StickySessions(); n != 0 {
		t.Errorf("%d sessions are sticky by settings that are replayed", n)
	}
	want := [][]string{{"D:a, b"}, {"D:c", "D:Asia/Tokyo"}, {"D:"}}
	for i := range 40 {
		var wg sync.WaitGroup
		for n, c := range sessions { // concurrently, so that they meet on all engines
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k, name := range []string{"search_path", "timezone"}[:len(want[n])] {
					c.send(&pgproto3.Query{String: fmt.Sprintf("show %s /*id='s%d-%d'*/", name, n, i)})
					if seen := c.readUntil("Z"); len(seen) < 2 || seen[1] != want[n][k] {
						t.Errorf("session %d: %s is %v, want %s", n, name, seen, want[n][k])
					}
				}
			}()
		}
		wg.Wait()
	}
	var engines []*standin.Engine
	for _, e := range r.Engines {
		engines = append(engines, e.Engine)
	}
	for n := range sessions {
		if got := runsByEngine(engines, fmt.Sprint("s", n)); len(got) < 2 {
			t.Errorf("session %d ran on engines %v only", n, got)
		}
	}
	ctx := context.Background()
	c := connect(t, s, "&timezone=Europe/Paris&search_path=x,y")
	if got := c.PgConn().ParameterStatus("TimeZone"); got != "Europe/Paris" {
		t.Errorf("time zone %q reported at the start", got)
	}
	for range 5 {
		if got, err := showSetting(ctx, c, "search_path"); got != "x,y" || err != nil {
			t.Errorf("search_path of the startup packet: %q, %v", got, err)
		}
	}
	c.Exec(ctx, "set search_path = z")
	c.Exec(ctx, "reset search_path")
	if got, err := showSetting(ctx, c, "search_path"); got != "x,y" || err != nil {
		t.Errorf("after RESET: %q, %v", got, err)
	}
	bad := connect(t, s, "&datestyle=wrong")
	for range 3 {
		if _, err := bad.Exec(ctx, "select 1 /*id='without'*/"); sqlState(err) != "22023" {
			t.Errorf("with a wrong setting of the startup packet: %v", err)
		}
	}
	if got := runsByEngine(engines, "without"); len(got) > 0 {
		t.Errorf("run without its settings on %v", got)
	}
	if _, err := c.Exec(ctx, "select 1"); err != nil {
		t.Error(err)
	}
}

// showSetting runs SHOW by the simple protocol.
func showSetting(ctx context.Context, c *pgx.Conn, name string) (string, error) {
	all, err := c.PgConn().Exec(ctx, "show "+name).ReadAll()
	if err != nil || len(all) != 1 || len(all[0].Rows) != 1 {
		return "", fmt.Errorf("%v, %v", all, err)
	}
	return string(all[0].Rows[0][len(all[0].Rows[0])-1]), nil
}
