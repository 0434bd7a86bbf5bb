//go:build review

// Package bench has what the cases of the review share: the temporary folder, the record, processes of the
// project, stand-in engines with the discovery service that lists them, and a proxy.
package bench

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"cresspass/internal/rehearsal/testbed"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// limit is how long a run may take.
const limit = 110 * time.Second

// Bench is the environment of one run of a case.
type Bench struct {
	Dir     string // temporary folder
	Trouble bool   // play the disruption

	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Process
}

// New opens the record of a run, in the file that the first argument of the program names.
func New() *Bench {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(CouldNot)
	}
	record, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	b := &Bench{Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	b.Log("trouble: %v", b.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			b.Exit(CouldNot, "ended by %v", s)
		case <-time.After(limit):
			b.Exit(CouldNot, "not done within %v", limit)
		}
	}()
	return b
}

// Log writes a line to the record and to standard output.
func (b *Bench) Log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%9.3f ms  ", float64(time.Since(b.began).Microseconds())/1000) +
		fmt.Sprintf(format, args...)
	fmt.Println(line)
	fmt.Fprintln(b.record, line)
}

// LogAt writes a line about something that happened at a time.
func (b *Bench) LogAt(at time.Time, format string, args ...any) {
	b.Log("at %.3f ms: %s", float64(at.Sub(b.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Exit ends all processes and the program, with a code and the reason for it.
func (b *Bench) Exit(code int, format string, args ...any) {
	for _, p := range b.procs {
		p.Kill()
	}
	b.Log("exit %d: "+format, append([]any{code}, args...)...)
	for _, p := range b.procs {
		text, _ := os.ReadFile(p.logPath)
		fmt.Fprintf(b.record, "\nlog of %s:\n%s", p.Name, text)
	}
	_ = b.record.Close()
	_ = os.RemoveAll(b.Dir)
	os.Exit(code)
}

// Must ends the run as one that could not be made, if there is an error.
func (b *Bench) Must(err error) {
	if err != nil {
		b.Exit(CouldNot, "%v", err)
	}
}

// File writes a file in the temporary folder and returns its path.
func (b *Bench) File(name, text string) string {
	path := filepath.Join(b.Dir, name)
	b.Must(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// FreePort returns an address of a free port.
func (b *Bench) FreePort() string {
	addr, err := testbed.FreePort()
	b.Must(err)
	return addr
}

// Connect opens a client's connection, and tries again while the dispatcher does not listen.
func (b *Bench) Connect(listen string) *pgconn.PgConn {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		c, err := pgconn.Connect(ctx, "postgres://u@"+listen+"/d?sslmode=disable")
		cancel()
		if err == nil {
			return c
		}
		if i > 300 {
			b.Must(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Process is a process of the project.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	logPath string
	Ended   chan struct{}
}

// Start starts the dispatcher of the deploy file's build with arguments.
func (b *Bench) Start(name string, args ...string) *Process {
	program := os.Getenv("CRESSPASS")
	if program == "" {
		program = "bin/cresspass"
	}
	p := &Process{Name: name, cmd: exec.Command(program, args...), logPath: filepath.Join(b.Dir, name+".log"),
		Ended: make(chan struct{})}
	log, err := os.Create(p.logPath)
	b.Must(err)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	b.Must(p.cmd.Start())
	b.procs = append(b.procs, p)
	b.Log("started %s: cresspass %s, pid %d", name,
		strings.ReplaceAll(strings.Join(args, " "), b.Dir+"/", ""), p.cmd.Process.Pid)
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.Ended)
	}()
	return p
}

// WaitReady waits until the process has logged that it is ready, at most 10 s.
func (b *Bench) WaitReady(p *Process) {
	for range 1000 {
		if text, _ := os.ReadFile(p.logPath); strings.Contains(string(text), "to=ready") {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Exit(CouldNot, "%s is not ready", p.Name)
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.Ended
}
