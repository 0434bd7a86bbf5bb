package platform

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestReloadRetriesPartialFile checks that a file which is incomplete at SIGHUP is read again without another
// signal, and that SIGTERM right after SIGHUP still ends the dispatcher.
func TestReloadRetriesPartialFile(t *testing.T) {
	h := newHarness(t, 256)
	moved := newFakeDiscovery(t)
	moved.add(true, "s-1", serverAddr(h.node.Server), "up")
	whole := h.config(serverAddr(moved.Server))
	if err := os.WriteFile(h.path, whole[:len(whole)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGHUP
	time.Sleep(2 * reloadRetryDelay)
	next := filepath.Join(t.TempDir(), "next")
	if err := os.WriteFile(next, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, h.path); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new address is polled", func() bool { return len(moved.polledFrom()) > 0 })
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(maxShutdownWait + exitMargin + 3*time.Second):
		t.Error("the dispatcher does not end")
	}
}

// TestReloadRetriesMissingFile checks that a configuration which can't be read for a long time, after the
// fast tries have ended, is read once it can be.
func TestReloadRetriesMissingFile(t *testing.T) {
	h := newHarness(t, 256)
	moved := newFakeDiscovery(t)
	moved.add(true, "s-1", serverAddr(h.node.Server), "up")
	whole := h.config(serverAddr(moved.Server))
	if err := os.Remove(h.path); err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- h.run(signals) }()
	signals <- syscall.SIGHUP
	time.Sleep((fastReloadTries + 3) * reloadRetryDelay)
	if err := os.WriteFile(h.path, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the new address is polled", func() bool { return len(moved.polledFrom()) > 0 })
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestReloadAppliesKnownEvents checks that the discovery events in a new configuration are applied at once,
// even if the discovery service at its new address does not answer.
func TestReloadAppliesKnownEvents(t *testing.T) {
	h := newHarness(t, 256)
	eventually(t, "discovery is polled", func() bool { return len(h.discovery.polledFrom()) > 0 })
	away, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer away.Close() // accepts connections and sends nothing
	first := h.discovery.events[0]
	second := strings.NewReplacer(`"rev":1`, `"rev":2`, `"full":true`, `"full":false`, `"state":"up"`,
		`"state":"draining"`).Replace(first)
	data := bytes.Replace(h.config(away.Addr().String()), []byte(first), []byte(first+","+second), 1)
	if err := os.WriteFile(h.path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if !h.reload() {
		t.Fatal("the configuration was not read")
	}
	if !h.watcher.draining("s-1") {
		t.Error("the drain in the new configuration is not known")
	}
}

// startWithConfigPipe starts the program with a named pipe as its configuration file. The program blocks
// until the pipe is written.
func startWithConfigPipe(t *testing.T) (c *exec.Cmd, pipe string, ended chan error) {
	t.Helper()
	program := buildProgram(t)
	pipe = filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	c = exec.Command(program, "node")
	c.Env = append(os.Environ(), "ROUTER_CONFIG="+pipe)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- c.Wait() }()
	t.Cleanup(func() { c.Process.Kill() })
	return c, pipe, ended
}

// openPipe waits until the program reads from the pipe, and returns the writing end.
func openPipe(t *testing.T, pipe string) (f *os.File) {
	t.Helper()
	eventually(t, "the program reads its configuration", func() (ok bool) {
		var err error
		f, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	})
	t.Cleanup(func() { f.Close() })
	return f
}

// TestSighupDuringStartup checks that SIGHUP before the configuration is read does not end the dispatcher.
func TestSighupDuringStartup(t *testing.T) {
	c, pipe, ended := startWithConfigPipe(t)
	f := openPipe(t, pipe)
	c.Process.Signal(syscall.SIGHUP)
	select {
	case err := <-ended:
		t.Fatalf("SIGHUP ended the program: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	f.Close() // an empty configuration, with which the program exits with status 1
	if err := <-ended; c.ProcessState.ExitCode() != 1 {
		t.Errorf("with an empty configuration the program ended with %v, want exit status 1", err)
	}
}
