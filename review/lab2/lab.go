//go:build review

// Package lab2 has what the cases 6 to 10 share: the record, the processes that a case starts, and small
// stand-ins for clients, compute nodes and the notice board.
package lab2

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// longestRun is after how long a run is ended.
const longestRun = 110 * time.Second

// Lab is one run of a case.
type Lab struct {
	Dir     string // temporary folder
	Trouble bool   // the disruption is played
	Program string // the dispatcher's program

	begun time.Time

	mu       sync.Mutex
	record   *os.File
	procs    []*Proc
	breaks   []string
	finished bool
}

// Second is a point of time in seconds since the run's begin, for the record.
func (l *Lab) Second(at time.Time) float64 { return at.Sub(l.begun).Seconds() }

// New begins a run. It is started from the root of the repository; folder is the case's folder.
func New(folder string) *Lab {
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Program: "bin/cresspass", begun: time.Now()}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	if l.Dir, err = os.MkdirTemp("", "review"); err != nil {
		l.Fail("temporary folder: %v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.Fail("the run was ended from outside")
	}()
	time.AfterFunc(longestRun, func() { l.Fail("the run took over %v", longestRun) })
	l.Note("disruption played: %v", l.Trouble)
	return l
}

// Note writes a line with the time since the begin to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (l *Lab) Break(format string, args ...any) {
	l.Note("BROKEN: "+format, args...)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks = append(l.breaks, fmt.Sprintf(format, args...))
}

// Fail ends the run: the case could not run.
func (l *Lab) Fail(format string, args ...any) {
	l.Note("could not run: "+format, args...)
	fmt.Println("could not run:", fmt.Sprintf(format, args...))
	l.exit(Failed)
}

// Check ends the run if err is not nil.
func (l *Lab) Check(err error) {
	if err != nil {
		l.Fail("%v", err)
	}
}

// Finish ends the run with the verdict.
func (l *Lab) Finish() {
	l.mu.Lock()
	breaks := l.breaks
	l.mu.Unlock()
	if len(breaks) == 0 {
		l.Note("the rule held")
		fmt.Println("held")
		l.exit(Held)
	}
	fmt.Printf("broken %d times; first: %s\n", len(breaks), breaks[0])
	l.exit(Broken)
}

// exit ends all processes and then this one.
func (l *Lab) exit(code int) {
	l.mu.Lock()
	if l.finished {
		l.mu.Unlock()
		select {}
	}
	l.finished = true
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
		if text, err := os.ReadFile(p.log); err == nil {
			l.Note("log of %s:\n%s", p.name, tail(string(text), 60))
		}
	}
	l.record.Close()
	os.RemoveAll(l.Dir)
	os.Exit(code)
}

// tail returns the last n lines of a text.
func tail(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) > n {
		lines = append([]string{"..."}, lines[len(lines)-n:]...)
	}
	return strings.Join(lines, "\n")
}

// Proc is a process that the case started.
type Proc struct {
	name  string
	cmd   *exec.Cmd
	log   string
	ended chan struct{}
	err   error // valid once ended is closed
}

// Start starts a process, with further variables in its environment.
func (l *Lab) Start(name string, env []string, args ...string) *Proc {
	p := &Proc{name: name, log: filepath.Join(l.Dir, name+".log"), ended: make(chan struct{})}
	out, err := os.Create(p.log)
	l.Check(err)
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	l.Check(p.cmd.Start())
	out.Close()
	l.Note("started %s: %s (process %d)", name, strings.Join(args, " "), p.cmd.Process.Pid)
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	go func() {
		p.err = p.cmd.Wait()
		l.Note("%s ended: %v", name, p.err)
		close(p.ended)
	}()
	return p
}

// Alive reports whether the process runs.
func (p *Proc) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Ended returns a channel that is closed when the process has ended.
func (p *Proc) Ended() <-chan struct{} { return p.ended }

// Err returns how the process ended; it is valid once Ended is closed.
func (p *Proc) Err() error { return p.err }

// Signal sends a signal to the process.
func (p *Proc) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Log returns what the process has written.
func (p *Proc) Log() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// AwaitLog waits until the process has written a text.
func (l *Lab) AwaitLog(p *Proc, text string, within time.Duration) {
	for end := time.Now().Add(within); !strings.Contains(p.Log(), text); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) || !p.Alive() {
			l.Fail("%s has not written %q:\n%s", p.name, text, tail(p.Log(), 20))
		}
	}
}

// ResidentMB returns a figure of /proc/PID/status in MB, such as VmRSS or VmHWM; 0: the process has ended.
func (p *Proc) ResidentMB(figure string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, figure+":"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// FreeAddr returns a loopback address with a port that is free now.
func (l *Lab) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Check(err)
	defer ln.Close()
	return ln.Addr().String()
}

// WriteFile writes a file in the temporary folder and returns its path.
func (l *Lab) WriteFile(name, text string) string {
	path := filepath.Join(l.Dir, name)
	l.Check(os.WriteFile(path, []byte(text), 0o600))
	return path
}
