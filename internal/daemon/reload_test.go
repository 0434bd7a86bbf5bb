package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// A reload applies either all settings or none, while queries wait and run.
func TestReload(t *testing.T) {
	env := newTestEnv(t)
	path := filepath.Join(env.dir, "d.hcl")
	write := func(extra string) {
		if err := os.WriteFile(path, []byte(env.settingsText(extra)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := env.start(t, "", false)
	c := env.connect(t)
	defer c.Close(context.Background())
	result := make(chan string, 1)
	go func() {
		_, err := c.Exec(context.Background(), "select 1 /*work_ms='500'*/")
		result <- sqlState(err)
	}()
	reload := func() {
		if err := sendReload(); err != nil {
			t.Fatal(err)
		}
	}
	truncatedFile := env.settingsText("")[:200]
	if err := os.WriteFile(path, []byte(truncatedFile), 0o600); err != nil {
		t.Fatal(err)
	}
	reload()
	s.waitForLog(t, "msg=\"settings not reloaded\"")
	write("gateways = 3\nmax_clients = 7\n")
	reload()
	s.waitForLog(t, "nothing is changed")
	write("max_clients = 2\nmatch {\n  class = \"load\"\n  pattern = \"from loads\"\n}\n")
	reload()
	s.waitForLog(t, "settings reloaded")
	if !strings.Contains(s.log.String(), "[match max_clients]") {
		t.Errorf("the changed settings are not logged: %s", s.log)
	}
	if got := <-result; got != "<nil>" {
		t.Errorf("a query that ran through three reloads was answered by %s", got)
	}
	second := env.connect(t)
	defer second.Close(context.Background())
	if _, err := pgx.Connect(context.Background(),
		"postgres://u@"+env.listen+"/db?sslmode=disable"); sqlState(err) != "53300" {
		t.Errorf("a third client with max_clients = 2: %v", err)
	}
	if err := s.stopAndWait(t); err != nil {
		t.Error(err)
	}
}

// Reloads of valid and invalid files during a burst of queries: no query is lost, and every valid file is
// applied.
func TestReloadInABurst(t *testing.T) {
	env := newTestEnv(t)
	s := env.start(t, "", false)
	load := env.startLoad(60, 10*time.Millisecond)
	path := filepath.Join(env.dir, "d.hcl")
	for i := range 10 {
		text := env.settingsText(fmt.Sprintf("max_held = %d\n", 500+i))
		if i%3 == 2 {
			text = text[:len(text)/2]
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)                   // about 300 statements arrive and end
		before := strings.Count(s.log.String(), "reloaded") // also counts "not reloaded"
		if err := sendReload(); err != nil {
			t.Fatal(err)
		}
		for begin := time.Now(); strings.Count(s.log.String(), "reloaded") == before; {
			if time.Since(begin) > 5*time.Second {
				t.Fatalf("reload %d was not logged within 5 s:\n%s", i, s.log)
			}
			time.Sleep(time.Millisecond)
		}
	}
	load.end(t)
	if got := strings.Count(s.log.String(), "settings reloaded"); got != 7 {
		t.Errorf("%d reloads were applied, want 7", got)
	}
	if err := s.stopAndWait(t); err != nil {
		t.Error(err)
	}
}
