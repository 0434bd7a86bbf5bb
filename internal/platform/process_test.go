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

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cresspass")
	build := exec.Command("go", "build", "-o", program, "cresspass/cmd/cresspass")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// process is the real program among a rig's stand-ins, started as the platform does.
type process struct {
	rig   *rig
	at    string // where it listens
	cmd   *exec.Cmd
	log   bytes.Buffer
	ended chan error
}

// startProgram starts the program once the rig was prepared, and waits until it listens.
func startProgram(t *testing.T, prepare func(r *rig)) *process {
	t.Helper()
	program := buildProgram(t)
	r := &rig{t: t, node: newNode(t), board: newNotices(t), sockets: 256,
		path: filepath.Join(t.TempDir(), "c.json")}
	r.board.add(true, "s-1", address(r.node.Server), "up")
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{rig: r, at: free.Addr().String(), ended: make(chan error, 1)}
	free.Close()
	p.config(r.board)
	prepare(r)
	p.cmd = exec.Command(program, "node")
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+r.path)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() { p.ended <- p.cmd.Wait() }()
	within(t, "the dispatcher listens", func() bool {
		conn, err := net.Dial("tcp", p.at)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	return p
}

// config writes the configuration, with a notice board.
func (p *process) config(b *notices) {
	data := bytes.Replace(p.rig.config(address(b.Server)), []byte("127.0.0.1:0"), []byte(p.at), 1)
	if err := os.WriteFile(p.rig.path, data, 0o600); err != nil {
		p.rig.t.Fatal(err)
	}
}

// dial connects to it as a client does.
func (p *process) dial() *asker {
	conn, err := net.Dial("tcp", p.at)
	if err != nil {
		p.rig.t.Fatal(err)
	}
	p.rig.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return newAsker(p.rig.t, conn)
}

// TestProcess starts the real program as the platform does, and counts final answers: served over several
// pages, refused with a time to come back, failed, cancelled, by a new notice board after SIGHUP, and open
// at SIGTERM.
func TestProcess(t *testing.T) {
	program := buildProgram(t)
	for name, env := range map[string]string{"ROUTER_CONFIG is not set": "", "no/such/file": "no/such/file"} {
		c := exec.Command(program, "node")
		c.Env = []string{"ROUTER_CONFIG=" + env}
		out, err := c.CombinedOutput()
		if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), name) {
			t.Errorf("a bad start: %v, %q", err, out)
		}
	}
	p := startProgram(t, func(r *rig) {
		r.node.pages = 3
		r.node.withhold(50*time.Millisecond, ticket(3))
	})
	r, c, log, ended, dial, config := p.rig, p.cmd, &p.log, p.ended, p.dial, p.config
	a := dial()
	a.net.Write(thrift.AppendAlive(nil, 99))
	if h := a.hear(); h.kind != "answer" {
		t.Fatalf("alive: %+v\n%s", h, log.String())
	}
	a.served(1, 3)
	a.ask(fields(ticket(2), "quick", "1")) // no time is left for it
	if h := a.hear(); h.kind != "shed" || !strings.Contains(h.text, "later") {
		t.Errorf("no time left: %+v", h)
	}
	a.ask(fields(ticket(4), "quack", "1000"))
	if h := a.hear(); h.kind != "fault" {
		t.Errorf("unknown class: %+v", h)
	}
	seq := a.ask(fields(ticket(3), "quick", "60000"))
	within(t, "the query is sent", func() bool { return r.node.count("POST "+ticket(3)) == 1 })
	a.net.Write(thrift.AppendCancel(nil, 98, seq))
	within(t, "it is given up", func() bool { return r.node.count("DELETE "+ticket(3)) > 0 })
	a.served(5, 3) // the next thing heard is no answer to what was cancelled

	moved, second := newNotices(t), newNode(t)
	moved.list = append([]string(nil), r.board.list...)
	moved.add(false, "s-1", address(r.node.Server), "draining")
	moved.add(false, "s-2", address(second.Server), "up")
	config(moved)
	c.Process.Signal(syscall.SIGHUP)
	within(t, "queries go by the new board", func() bool {
		n := second.count("POST")
		a.served(1000+int(time.Now().UnixNano()%1e9), 1)
		return second.count("POST") > n
	})
	second.withhold(50*time.Millisecond, ticket(7))
	a.ask(fields(ticket(7), "quick", "60000"))
	within(t, "a query is open", func() bool { return second.count("POST "+ticket(7)) == 1 })
	begun := time.Now()
	c.Process.Signal(syscall.SIGTERM)
	dial().served(8, 1)
	if h := a.hear(); h.kind != "shed" {
		t.Errorf("open at the end: %+v", h)
	}
	if err := <-ended; err != nil || time.Since(begun) > waitMost+endSlack+time.Second {
		t.Errorf("ended %v after %v\n%s", err, time.Since(begun), log.String())
	}
	if h := a.hear(); h.kind != "closed" {
		t.Errorf("one answer too many: %s", fmt.Sprint(h))
	}
}

// TestTermAtAnyMomentOfTheStart: a SIGTERM that comes while the process starts ends it, whenever it comes: by
// the signal itself, or in good order.
func TestTermAtAnyMomentOfTheStart(t *testing.T) {
	const tries, step, at, endsBy = 3, time.Millisecond, 40, 5 * time.Second
	program := buildProgram(t)
	r := &rig{t: t, node: newNode(t), board: newNotices(t), sockets: 256,
		path: filepath.Join(t.TempDir(), "c.json")}
	r.board.add(true, "s-1", address(r.node.Server), "up")
	if err := os.WriteFile(r.path, r.config(address(r.board.Server)), 0o600); err != nil {
		t.Fatal(err)
	}
	var lost atomic.Int32
	var all sync.WaitGroup
	for n := range at * tries {
		after := time.Duration(n/tries) * step
		c := exec.Command(program, "node")
		c.Env = append(os.Environ(), "ROUTER_CONFIG="+r.path)
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
