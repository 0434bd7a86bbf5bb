package server_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestSettingsAreReplayed checks that settings that the dispatcher replays do not make a session sticky. They
// apply to each of the session's statements, on any engine, and to no other session. Settings that were
// rolled back or failed do not apply. After an invalid value in the startup packet each statement gets the
// engine's error, and no query runs without its session's settings.
func TestSettingsAreReplayed(t *testing.T) {
	r, s := startDispatcher(t, 3, baseSettings)
	sessions := []*wireClient{dialServer(t, s), dialServer(t, s), dialServer(t, s)}
	sessions[0].query("set search_path = a, b")
	sessions[1].query("set search_path = c")
	if seen := sessions[1].query("set time zone 'Asia/Tokyo'"); countPrefix(
		seen,
		"ParameterStatus",
	) != 1 {
		t.Errorf("the engine's report of a setting was not forwarded: %v", seen)
	}
	sessions[2].query("begin; set search_path = d; rollback")
	sessions[2].query("set search_path = e; select 'syntax error'")
	sessions[2].query("set datestyle = wrong")
	if n := s.StickySessions(); n != 0 {
		t.Errorf("%d sessions are sticky because of settings that are replayed, want 0", n)
	}
	want := [][]string{{"D:a, b"}, {"D:c", "D:Asia/Tokyo"}, {"D:"}}
	for i := range 40 {
		var wg sync.WaitGroup
		for n, c := range sessions { // concurrently, so that the sessions share all engines
			wg.Add(1)
			go func() {
				defer wg.Done()
				for k, name := range []string{"search_path", "timezone"}[:len(want[n])] {
					seen := c.query(fmt.Sprintf("show %s /*id='s%d-%d'*/", name, n, i))
					if len(seen) < 2 || seen[1] != want[n][k] {
						t.Errorf("session %d: %s is %v, want %s", n, name, seen, want[n][k])
					}
				}
			}()
		}
		wg.Wait()
	}
	for n := range sessions {
		if got := runsByEngine(r, fmt.Sprint("s", n)); len(got) < 2 {
			t.Errorf("session %d: statements by engine %v, want several engines", n, got)
		}
	}
	ctx := context.Background()
	c := connect(t, s, "&timezone=Europe/Paris&search_path=x,y")
	if got := c.PgConn().ParameterStatus("TimeZone"); got != "Europe/Paris" {
		t.Errorf("time zone %q reported at the start, want Europe/Paris", got)
	}
	for range 5 {
		if got, err := showSetting(ctx, c, "search_path"); got != "x,y" || err != nil {
			t.Errorf("search_path of the startup packet: %q, %v", got, err)
		}
	}
	for _, text := range []string{"set search_path = z", "reset search_path"} {
		if _, err := c.Exec(ctx, text); err != nil {
			t.Error(err)
		}
	}
	if got, err := showSetting(ctx, c, "search_path"); got != "x,y" || err != nil {
		t.Errorf("search_path after RESET: %q, %v", got, err)
	}
	bad := connect(t, s, "&datestyle=wrong")
	for range 3 {
		if _, err := bad.Exec(ctx, "select 1 /*id='without'*/"); sqlState(err) != "22023" {
			t.Errorf("query after an invalid setting in the startup packet: %v, want 22023", err)
		}
	}
	if got := runsByEngine(r, "without"); len(got) > 0 {
		t.Errorf("the query ran without its session's settings on engines %v", got)
	}
	if _, err := c.Exec(ctx, "select 1"); err != nil {
		t.Error(err)
	}
}

// showSetting returns the value of a setting, by SHOW over the simple protocol.
func showSetting(ctx context.Context, c *pgx.Conn, name string) (string, error) {
	all, err := c.PgConn().Exec(ctx, "show "+name).ReadAll()
	if err != nil {
		return "", err
	}
	if len(all) != 1 || len(all[0].Rows) != 1 {
		return "", fmt.Errorf("show %s: %v", name, all)
	}
	return string(all[0].Rows[0][len(all[0].Rows[0])-1]), nil
}
