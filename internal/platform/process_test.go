package platform

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// buildProgram builds the cresspass program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cresspass")
	build := exec.Command("go", "build", "-o", program, "cresspass/cmd/cresspass")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// testProcess is a process of the real program, started as the platform starts it, with a harness's fakes.
type testProcess struct {
	harness *harness
	addr    string // at which the process listens
	cmd     *exec.Cmd
	log     outputBuffer
	ended   chan error
}

// outputBuffer collects the output of a process. It is safe for concurrent use.
type outputBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *outputBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// String returns the output so far.
func (b *outputBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startProgram starts the program after prepare has set up the harness, and waits until its log shows that it
// is serving. A connection that succeeds would not prove that: another process may have taken the free port
// first.
func startProgram(t *testing.T, prepare func(h *harness)) *testProcess {
	t.Helper()
	program := buildProgram(t)
	h := prepareHarness(t, 256)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testProcess{harness: h, addr: free.Addr().String(), ended: make(chan error, 1)}
	free.Close()
	p.writeConfig(h.discovery)
	prepare(h)
	p.cmd = exec.Command(program, "node")
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+h.path)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() { p.ended <- p.cmd.Wait() }()
	eventually(t, "the dispatcher is serving", func() bool {
		return strings.Contains(p.log.String(), "msg=serving")
	})
	return p
}

// writeConfig writes the configuration file, with the address of a discovery service.
func (p *testProcess) writeConfig(discovery *fakeDiscovery) {
	data := p.harness.config(serverAddr(discovery.Server))
	p.harness.writeConfig(bytes.Replace(data, []byte("127.0.0.1:0"), []byte(p.addr), 1))
}

// dial connects a new client to the process.
func (p *testProcess) dial() *testClient {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.harness.t.Fatal(err)
	}
	p.harness.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return newTestClient(p.harness.t, conn)
}

// TestProcess starts the real program as the platform does, and checks that each request gets one final
// answer: served with several pages, rejected with a retry time, failed, cancelled, served by the nodes of a
// new discovery service after SIGHUP, and open at SIGTERM.
func TestProcess(t *testing.T) {
	program := buildProgram(t)
	for name, env := range map[string]string{"ROUTER_CONFIG is not set": "", "no/such/file": "no/such/file"} {
		c := exec.Command(program, "node")
		c.Env = []string{"ROUTER_CONFIG=" + env}
		out, err := c.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), name) {
			t.Errorf("start with a bad configuration: %v, %q", err, out)
		}
	}
	p := startProgram(t, func(h *harness) {
		h.node.pages = 3
		h.node.keepRunning(50*time.Millisecond, ticket(3))
	})
	h, c, log, ended, dial, config := p.harness, p.cmd, &p.log, p.ended, p.dial, p.writeConfig
	client := dial()
	client.conn.Write(thrift.Alive{}.Append(nil, 99))
	if got := client.receive(); got.kind != "answer" {
		t.Fatalf("alive: %+v\n%s", got, log.String())
	}
	client.mustServe(1, 3)
	client.send(requestFields(ticket(2), "quick", "1")) // 1 ms is too little time to serve it
	if got := client.receive(); got.kind != "shed" || !strings.Contains(got.text, "later") {
		t.Errorf("no time left: %+v", got)
	}
	client.send(requestFields(ticket(4), "quack", "1000"))
	if got := client.receive(); got.kind != "fault" {
		t.Errorf("unknown class: %+v", got)
	}
	seq := client.send(requestFields(ticket(3), "quick", "60000"))
	eventually(t, "the query is sent", func() bool { return h.node.callCount("POST "+ticket(3)) == 1 })
	client.conn.Write(thrift.CancelRequest{TargetSeq: seq}.Append(nil, 98))
	eventually(t, "the query is cancelled", func() bool { return h.node.callCount("DELETE "+ticket(3)) > 0 })
	client.mustServe(5, 3) // the cancelled request gets no reply before this one

	moved, second := newFakeDiscovery(t), newFakeNode(t)
	moved.events = append([]string(nil), h.discovery.events...)
	moved.add(false, "s-1", serverAddr(h.node.Server), "draining")
	moved.add(false, "s-2", serverAddr(second.Server), "up")
	config(moved)
	c.Process.Signal(syscall.SIGHUP)
	eventually(t, "queries go to the node of the new discovery service", func() bool {
		n := second.callCount("POST")
		client.mustServe(1000+int(time.Now().UnixNano()%1e9), 1)
		return second.callCount("POST") > n
	})
	second.keepRunning(50*time.Millisecond, ticket(7))
	client.send(requestFields(ticket(7), "quick", "60000"))
	eventually(t, "a query is open", func() bool { return second.callCount("POST "+ticket(7)) == 1 })
	begun := time.Now()
	c.Process.Signal(syscall.SIGTERM)
	dial().mustServe(8, 1)
	if got := client.receive(); got.kind != "shed" {
		t.Errorf("the request that was open at SIGTERM: got %+v, want a rejection", got)
	}
	if err := <-ended; err != nil || time.Since(begun) > maxShutdownWait+exitMargin+time.Second {
		t.Errorf("the process ended with %v after %v\n%s", err, time.Since(begun), log.String())
	}
	if got := client.receive(); got.kind != "closed" {
		t.Errorf("got another reply after the last: %s", fmt.Sprint(got))
	}
}

// TestSigtermDuringStartup checks that SIGTERM at any time during startup ends the process, either by the
// signal's default action or by a graceful shutdown.
func TestSigtermDuringStartup(t *testing.T) {
	const tries, step, at, endsBy = 3, time.Millisecond, 40, 5 * time.Second
	program := buildProgram(t)
	h := prepareHarness(t, 256)
	if err := os.WriteFile(h.path, h.config(serverAddr(h.discovery.Server)), 0o600); err != nil {
		t.Fatal(err)
	}
	var lost atomic.Int32
	var all sync.WaitGroup
	for n := range at * tries {
		after := time.Duration(n/tries) * step
		c := exec.Command(program, "node")
		c.Env = append(os.Environ(), "ROUTER_CONFIG="+h.path)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(after)
		c.Process.Signal(syscall.SIGTERM)
		all.Go(func() {
			timer := time.AfterFunc(endsBy, func() {
				lost.Add(1)
				c.Process.Kill()
			})
			c.Wait()
			timer.Stop()
		})
	}
	all.Wait()
	if n := lost.Load(); n > 0 {
		t.Errorf("%d of %d processes did not end", n, at*tries)
	}
}
