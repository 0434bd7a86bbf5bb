package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"cresspass/internal/rehearsal/testbed"
)

// Health checks report that a daemon without an endpoint list is live and not ready, and later that it is
// ready. The service manager is notified when the daemon is ready and when it stops.
func TestHealth(t *testing.T) {
	env := newTestEnv(t)
	addr, err := testbed.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	serviceManager, err := net.ListenUnixgram("unixgram",
		&net.UnixAddr{Name: filepath.Join(env.dir, "notify"), Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer serviceManager.Close()
	t.Setenv("NOTIFY_SOCKET", filepath.Join(env.dir, "notify"))
	env.testbed.Discovery.SetUnavailable(true) // no list yet: the daemon listens, and is not ready
	o, log := env.options(t, fmt.Sprintf("health = %q\n", addr), false)
	s := &runningDaemon{stop: make(chan struct{}), done: make(chan error, 1), log: log}
	o.Stop = s.stop
	go func() { s.done <- Run(context.Background(), o) }()
	status := func(path string) int {
		r, err := http.Get("http://" + addr + path)
		if err != nil {
			return 0
		}
		r.Body.Close()
		return r.StatusCode
	}
	for begin := time.Now(); status("/live") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("not live within 5 s")
		}
	}
	if got := status("/ready"); got != 503 {
		t.Errorf("ready without a list: %d", got)
	}
	env.testbed.Discovery.SetUnavailable(false)
	s.waitForLog(t, "to=ready")
	if h, err := FetchHealth(context.Background(), addr); err != nil || !h.Ready || h.State != "ready" {
		t.Errorf("health %+v, %v", h, err)
	}
	http.DefaultClient.CloseIdleConnections()
	if err := s.stopAndWait(t); err != nil {
		t.Error(err)
	}
	for _, want := range []string{"READY=1", "STOPPING=1"} {
		b := make([]byte, 100)
		if err := serviceManager.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if n, err := serviceManager.Read(b); err != nil || string(b[:n]) != want {
			t.Errorf("the service manager was notified of %q, %v, want %s", b[:n], err, want)
		}
	}
}
