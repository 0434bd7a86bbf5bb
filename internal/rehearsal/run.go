package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/invariant"
	"cresspass/internal/rehearsal/rulecheck"
	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/simulation/enginemodel"
	"cresspass/internal/standin"
	"cresspass/internal/storage"
)

// Options say how a day is played.
type Options struct {
	Seed    uint64
	Program []string // the dispatcher: a command to which its sub-command and flags are added
	Policy  string   // a baseline in the module's place; "": the module
	NoState bool     // dispatchers keep nothing but their lists
	// Gossip is how dispatchers talk, in place of the day's: "no"; "cold", and one that begins does so from
	// nothing; "ask", and it asks others for what they have learnt; "": as the day says, else not.
	Gossip  string
	Mutate  int    // the module without the guard of this rule; 0: whole
	Dir     string // for settings, kept lists and the dispatchers' logs
	Log     *slog.Logger
	Observe func(Status) // called twice a second; may be nil
}

// Status is how a day stands.
type Status struct {
	Day     *Day
	At      time.Duration
	Engines []EngineStatus
	Up      []bool // of the dispatchers
	Counts  map[string][outcomeCount]int
	Faults  []Fault // in force
}

// EngineStatus is how an engine stands.
type EngineStatus struct {
	Threads, Cores float64
	Up, Fallen     bool
	State          string // as the roster tells it
}

// Result is what a day came to.
type Result struct {
	Day           *Day
	Verdicts      []rulecheck.Verdict
	Classes       []Count
	LoggedErrors  map[string]int // failed tries by SQLSTATE
	Loads         int            // keyed loads that had their effect
	RanTwice      []string       // and those that had it twice within their window
	Violations    []string       // invariants, as the dispatchers logged them
	Missed        []string       // expectations beyond the rules that were missed
	Requests      int
	Attempts      int
	Seed          uint64
	Log           *rulecheck.Log // what the relays saw
	Samples       []Sample
	EngineSamples []EngineSample
	Start         time.Time
}

// Kept reports whether every rule held, no load had its effect twice, and no dispatcher found a violation.
func (r *Result) Kept() bool {
	return rulecheck.AllKept(r.Verdicts) && len(r.RanTwice) == 0 && len(r.Violations) == 0
}

// Print writes the result as lines.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: %s\n", r.Day.Name, r.Day.Title)
	fmt.Fprintf(w, "%d tries asked, %d attempts sent to engines\n", r.Requests, r.Attempts)
	for _, c := range r.Classes {
		fmt.Fprintln(w, " ", c.String())
	}
	if len(r.LoggedErrors) > 0 {
		fmt.Fprintf(w, "  failures by code: %v\n", r.LoggedErrors)
	}
	fmt.Fprintf(w, "loads with effect: %d; twice within their window: %d %v\n", r.Loads, len(r.RanTwice),
		r.RanTwice)
	for _, v := range r.Verdicts {
		fmt.Fprintln(w, v)
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "violation logged:", v)
	}
	if share, median, n := r.FirstAttemptsAfter(10 * time.Second); n > 0 {
		fmt.Fprintf(w,
			"first 10 s after a kill: %d asked of those dispatchers, %.1f%% served, %v at the median\n", n,
			100*share,
			median.Round(time.Millisecond))
	}
	for _, s := range r.Missed {
		fmt.Fprintln(w, "expectation missed:", s)
	}
}

// String is the count on one line.
func (c *Count) String() string {
	n := 0
	for _, k := range c.Tries {
		n += k
	}
	ms := func(quantile float64) float64 { return float64(c.Times.ValueAtQuantile(quantile)) / 1000 }
	return fmt.Sprintf("%-12s %6d tries: served %d (%.1f%%), refused %d, failed %d, given up %d; "+
		"served in %.0f ms (p50), %.0f ms (p99)", c.Class, n, c.Tries[Served],
		100*float64(c.Tries[Served])/math.Max(1, float64(n)), c.Tries[Rejected], c.Tries[Failed],
		c.Tries[Abandoned],
		ms(50), ms(99))
}

// FirstAttemptsAfter counts what a dispatcher served in a stretch after it was back from a kill, of all that
// was asked of it, and the median time of what was served. n 0: none was killed.
func (r *Result) FirstAttemptsAfter(stretch time.Duration) (share float64, median time.Duration, n int) {
	var times []time.Duration
	for _, k := range r.Log.Outages {
		from := k.Back.Sub(r.Start)
		for _, s := range r.Samples {
			begun := s.At - s.Took
			if fmt.Sprint("d", s.Dispatcher) != k.Dispatcher || begun < from || begun > from+stretch ||
				s.End == Abandoned {
				continue
			}
			if n++; s.End == Served {
				times = append(times, s.Took)
			}
		}
	}
	if len(times) == 0 {
		return 0, 0, n
	}
	sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
	return float64(len(times)) / float64(n), times[len(times)/2], n
}

// Share is the part of a class's tries that were served, of those that did not give up.
func (c *Count) Share() float64 {
	n := c.Tries[Served] + c.Tries[Rejected] + c.Tries[Failed]
	return float64(c.Tries[Served]) / math.Max(1, float64(n))
}

// dispatcher is one dispatcher process.
type dispatcher struct {
	run         *run
	index       int
	addr        string
	args        []string
	log         *os.File
	relay       *rulecheck.Relay
	flightRelay *rulecheck.Relay // for Flight SQL; nil: it is not served

	mu     sync.Mutex
	up     atomic.Bool
	cmd    *exec.Cmd
	held   io.Closer
	killed []rulecheck.Outage
}

func (d *dispatcher) name() string { return "d" + strconv.Itoa(d.index) }

// start starts the process and waits until it listens.
func (d *dispatcher) start(ctx context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.run.options
	d.cmd = exec.Command(o.Program[0], append(append([]string(nil), o.Program[1:]...), d.args...)...)
	d.cmd.Env = append(os.Environ(), "CRESSPASS_RUN=1")
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// None outlives the rehearsal: each ends when its standard input does, which is ours to hold.
	hold, err := d.cmd.StdinPipe()
	if err != nil {
		return err
	}
	d.held = hold
	if err := d.cmd.Start(); err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < 10*time.Second && ctx.Err() == nil; {
		if c, err := net.DialTimeout("tcp", d.addr, time.Second); err == nil {
			c.Close()
			d.up.Store(true)
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("rehearse: dispatcher %d does not listen on %s; its log is %s", d.index, d.addr,
		d.log.Name())
}

// kill kills the process as a crash does.
func (d *dispatcher) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killed = append(d.killed, rulecheck.Outage{Dispatcher: d.name(), At: time.Now()})
	d.up.Store(false)
	d.cmd.Process.Kill()
	d.cmd.Wait()
}

// restart ends the process in good order, to be started again.
func (d *dispatcher) restart() {
	d.mu.Lock()
	d.killed = append(d.killed, rulecheck.Outage{Dispatcher: d.name(), At: time.Now()})
	d.mu.Unlock()
	d.stop()
}

func (d *dispatcher) startAgain(ctx context.Context) error {
	err := d.start(ctx)
	d.mu.Lock()
	d.killed[len(d.killed)-1].Back = time.Now()
	d.mu.Unlock()
	return err
}

// stop ends the process in good order.
func (d *dispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.ProcessState != nil {
		return
	}
	d.up.Store(false)
	d.cmd.Process.Signal(syscall.SIGTERM)
	late := time.AfterFunc(10*time.Second, func() { d.cmd.Process.Kill() })
	d.cmd.Wait()
	late.Stop()
}

// run is a day that is being played.
type run struct {
	day           *Day
	options       Options
	testbed       *testbed.Testbed
	recorder      *rulecheck.Recorder
	relays        []*rulecheck.Relay // before the engines
	dispatchers   []*dispatcher
	load          *workload
	work          sync.WaitGroup
	mu            sync.Mutex
	faults        []standin.Faults // in force, for each engine
	failures      []error
	engineSamples []EngineSample
	window        time.Duration
}

// Play plays a day and judges it.
func Play(ctx context.Context, d *Day, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	r := &run{
		day:      d,
		options:  o,
		recorder: rulecheck.NewRecorder(),
		faults:   make([]standin.Faults, d.Engines),
	}
	defer r.tearDown()
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	timed, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, t := range d.Faults {
		r.work.Add(1)
		go func() {
			defer r.work.Done()
			if sleep(timed, time.Until(start.Add(t.At))) {
				r.inject(timed, t)
			}
		}()
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for sleep(timed, 500*time.Millisecond) {
			r.sample(time.Since(start))
		}
	}()
	r.load.start = start
	r.load.run(ctx, start)
	cancel()
	<-watched
	r.work.Wait()
	if err := errors.Join(append(r.failures, ctx.Err())...); err != nil {
		return nil, err
	}
	return r.evaluate(), nil
}

// sample takes note of how the day stands, and tells who watches.
func (r *run) sample(at time.Duration) {
	s := Status{Day: r.day, At: at, Counts: map[string][outcomeCount]int{}}
	w := EngineSample{At: at}
	for i, e := range r.testbed.Engines {
		up, fallen := e.Up()
		v := EngineStatus{Cores: r.day.cores(i), Up: up, Fallen: fallen, State: string(r.testbed.State(i))}
		if up {
			v.Threads = e.Threads()
		}
		s.Engines = append(s.Engines, v)
		w.Threads = append(w.Threads, v.Threads)
	}
	r.engineSamples = append(r.engineSamples, w)
	if r.options.Observe == nil {
		return
	}
	for _, d := range r.dispatchers {
		s.Up = append(s.Up, d.up.Load())
	}
	r.load.mu.Lock()
	for name, c := range r.load.counts {
		s.Counts[name] = c.Tries
	}
	r.load.mu.Unlock()
	for _, t := range r.day.Faults {
		if t.At <= at && at <= t.At+t.For {
			s.Faults = append(s.Faults, t)
		}
	}
	r.options.Observe(s)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// setUp brings up engines, roster, relays and dispatchers.
func (r *run) setUp(ctx context.Context) error {
	d := r.day
	for _, c := range d.Module.Classes {
		r.window = max(r.window, c.DeduplicationWindow)
	}
	kind := enginemodel.Kind{MemoryMB: d.MemoryMB, SpillCost: 2.5, WarmSets: 4,
		WarmSaves:     0.3,
		SlowStartFrom: d.Module.Rules.SlowStartFrom, SlowStartDuration: d.Module.Rules.SlowStartDuration,
		SlowStartOverloadFactor: d.Module.Rules.SlowStartOverloadFactor,
		SlowStartWindow:         d.Module.Rules.SlowStartWindow}
	cfg := make([]standin.EngineConfig, d.Engines)
	for i := range cfg {
		kind.Cores = d.cores(i)
		kind.MaxJobs = int(8 * kind.Cores)
		cfg[i] = standin.EngineConfig{
			Kind:          kind,
			Seed:          r.options.Seed,
			ProgressEvery: d.Module.ProgressInterval,
			ReportEvery:   200 * time.Millisecond,
			Window:        r.window,
		}
	}
	var err error
	if r.testbed, err = testbed.New(cfg...); err != nil {
		return err
	}
	for i, e := range r.testbed.Engines {
		relay, err := r.recorder.NewRelay(rulecheck.Engines, "", e.Addr())
		if err != nil {
			return err
		}
		r.relays = append(r.relays, relay)
		e.Entry.Address, e.Entry.Kind = relay.Addr(), d.kind(i)
		e.Entry.Zone, e.Entry.Cell = d.zone(i), i/2
	}
	r.testbed.Publish()
	if err := os.MkdirAll(r.options.Dir, 0o755); err != nil {
		return err
	}
	settings := filepath.Join(r.options.Dir, "settings.hcl")
	if err := os.WriteFile(settings, []byte(d.Settings), 0o644); err != nil {
		return err
	}
	var addrs, flights []string
	talk, seed := d.Gossip, ""
	if r.options.Gossip != "" {
		talk = r.options.Gossip
	}
	for i := range d.Dispatchers {
		settings := settings
		if talk != "" && talk != "no" {
			at, err := testbed.FreePort()
			if err != nil {
				return err
			}
			settings = filepath.Join(r.options.Dir, fmt.Sprintf("settings-%d.hcl", i))
			if err := os.WriteFile(settings, []byte(d.Settings+membershipBlock(i, at, seed, talk)),
				0o644); err != nil {
				return err
			}
			if seed == "" {
				seed = at
			}
		}
		addr, err := testbed.FreePort()
		if err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(r.options.Dir, fmt.Sprintf("dispatcher-%d.log", i)))
		if err != nil {
			return err
		}
		p := &dispatcher{run: r, index: i, addr: addr, log: log}
		p.args = []string{"serve"}
		if r.options.Policy != "" || r.options.Mutate != 0 {
			p.args = []string{"rehearse", "dispatcher", "--policy", r.options.Policy, "--mutate",
				strconv.Itoa(r.options.Mutate)}
		}
		p.args = append(p.args, "-c", settings, "--listen", addr, "--eds", r.testbed.Discovery.Addr(),
			"--cache", filepath.Join(r.options.Dir, fmt.Sprintf("list-%d", i)), "--ordinal", strconv.Itoa(i),
			"--gateways", strconv.Itoa(d.Dispatchers), "--engine-user", p.name(), "--with-parent")
		if !r.options.NoState {
			p.args = append(p.args, "--state", filepath.Join(r.options.Dir, fmt.Sprintf("state-%d", i)))
		}
		at := ""
		if d.Flight > 0 {
			if at, err = testbed.FreePort(); err != nil {
				return err
			}
			p.args = append(p.args, "--flight", at)
		}
		r.dispatchers = append(r.dispatchers, p)
		if err := p.start(ctx); err != nil {
			return err
		}
		if p.relay, err = r.recorder.NewRelay(rulecheck.Clients, p.name(), addr); err != nil {
			return err
		}
		addrs = append(addrs, p.relay.Addr())
		if d.Flight > 0 {
			if p.flightRelay, err = r.recorder.NewFlightRelay(p.name(), at); err != nil {
				return err
			}
			flights = append(flights, p.flightRelay.Addr())
		}
	}
	for begin := time.Now(); ; time.Sleep(10 * time.Millisecond) { // until all have the list
		told, _ := r.testbed.Discovery.Notifications()
		nodes := map[string]bool{}
		for _, t := range told {
			if t.Version >= 2 {
				nodes[t.Node] = true
			}
		}
		if len(nodes) == d.Dispatchers {
			break
		}
		if time.Since(begin) > 10*time.Second {
			return fmt.Errorf("rehearse: %d of %d dispatchers took the engine list within 10 s", len(nodes),
				d.Dispatchers)
		}
	}
	r.load = newLoad(d, r.options.Seed, addrs)
	r.load.flight = flights
	return nil
}

// membershipBlock is the settings block by which a dispatcher talks, in HCL. The first has no seed, and is
// everybody's.
func membershipBlock(i int, at, seed, talk string) string {
	seeds, wait := "[]", "0s"
	if seed != "" {
		seeds = fmt.Sprintf("[%q]", seed)
	}
	if talk == "ask" {
		wait = "1s"
	}
	return fmt.Sprintf("\npeers {\n  listen = %q\n  name = \"d%d\"\n  seeds = %s\n  keys = [%q]\n"+
		"  wait = %q\n}\n", at, i, seeds, strings.Repeat("5c", 32), wait)
}

// tearDown ends all that runs.
func (r *run) tearDown() {
	for _, p := range r.dispatchers {
		p.stop()
		p.log.Close()
	}
	for _, p := range r.dispatchers {
		if p.relay != nil {
			p.relay.Close()
		}
		if p.flightRelay != nil {
			p.flightRelay.Close()
		}
	}
	for _, v := range r.relays {
		v.Close()
	}
	if r.testbed != nil {
		r.testbed.Close()
	}
}

func (r *run) fail(err error) {
	if err != nil {
		r.mu.Lock()
		r.failures = append(r.failures, err)
		r.mu.Unlock()
	}
}

// setEngineFault changes what is wrong with an engine; faults of different kinds add up.
func (r *run) setEngineFault(i int, f func(*standin.Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.faults[i])
	if up, _ := r.testbed.Engines[i].Up(); up {
		r.testbed.Engines[i].SetFaults(r.faults[i])
	}
}

// restart brings a dead engine back. It tells a change of an engine's process to the roster, which knows only
// whether it runs, a second late.
func (r *run) restart(ctx context.Context, i int, after time.Duration) {
	e := r.testbed.Engines[i]
	if up, _ := e.Up(); up {
		return // another trouble has brought it back
	}
	if sleep(ctx, min(time.Second, after/2)) {
		r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State = eds.StateRemoved })
	}
	sleep(ctx, after-min(time.Second, after/2))
	if ctx.Err() != nil {
		return
	}
	if up, _ := e.Up(); up {
		return
	}
	if err := e.Restart(); err != nil {
		r.fail(err)
		return
	}
	r.setEngineFault(i, func(f *standin.Faults) { f.DieAfterRows = 0 })
	r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State, v.Started = eds.StateActive, e.Started() })
}

// drain has an engine told to drain, and come back as a new process.
func (r *run) drain(ctx context.Context, i int, after time.Duration) {
	r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State = eds.StateDraining })
	if sleep(ctx, after) {
		r.testbed.Engines[i].Crash()
		r.restart(ctx, i, 500*time.Millisecond)
	}
}

// inject plays one trouble from its beginning to its end.
func (r *run) inject(ctx context.Context, t Fault) {
	r.options.Log.Info("trouble", "kind", t.Kind, "engines", t.Engines, "dispatcher", t.Dispatcher, "size",
		t.Size, "for", t.For)
	var wg sync.WaitGroup
	each := func(f func(i int)) {
		for _, i := range t.Engines {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f(i)
			}()
		}
	}
	during := func(set func(f *standin.Faults, on bool)) {
		each(func(i int) {
			r.setEngineFault(i, func(f *standin.Faults) { set(f, true) })
			sleep(ctx, t.For)
			r.setEngineFault(i, func(f *standin.Faults) { set(f, false) })
		})
	}
	size := func(on bool) float64 {
		if on {
			return t.Size
		}
		return 0
	}
	switch t.Kind {
	case "slow":
		during(func(f *standin.Faults, on bool) { f.Slow = size(on) })
	case "hang":
		during(func(f *standin.Faults, on bool) { f.Hang = on })
	case "errors":
		during(func(f *standin.Faults, on bool) { f.ErrorShare = size(on) })
	case "lost":
		during(func(f *standin.Faults, on bool) { f.LoseShare = size(on) })
	case "cut":
		during(func(f *standin.Faults, on bool) { f.Cut = size(on) })
	case "garbage":
		during(func(f *standin.Faults, on bool) { f.Garbage = on })
	case "slow-cancel":
		during(func(f *standin.Faults,
			on bool) {
			f.SlowCancel = time.Duration(size(on) * float64(time.Second))
		})
	case "reports-late":
		during(func(f *standin.Faults,
			on bool) {
			f.LateReports = time.Duration(size(on) * float64(time.Second))
		})
	case "shared":
		for i := range r.testbed.Engines {
			t.Engines = append(t.Engines, i)
		}
		during(func(f *standin.Faults, on bool) { f.Slow = size(on) })
	case "neighbour":
		each(func(i int) {
			for end := time.Now().Add(t.For); time.Now().Before(end) && ctx.Err() == nil; {
				r.setEngineFault(i, func(f *standin.Faults) { f.Slow = t.Size })
				sleep(ctx, t.For/8)
				r.setEngineFault(i, func(f *standin.Faults) { f.Slow = 0 })
				sleep(ctx, t.For/8)
			}
		})
	case "ageing":
		each(func(i int) {
			for n := 1.0; n <= 10 && sleep(ctx, t.For/14); n++ {
				r.setEngineFault(i, func(f *standin.Faults) { f.Slow = 1 + (t.Size-1)*n/10 })
			}
			r.testbed.Engines[i].Crash()
			r.setEngineFault(i, func(f *standin.Faults) { f.Slow = 0 })
			r.restart(ctx, i, t.For*4/14)
		})
	case "deploy":
		for _, i := range t.Engines {
			r.drain(ctx, i, t.For/time.Duration(len(t.Engines)))
		}
	case "preemption":
		each(func(i int) {
			r.testbed.UpdateEngine(i, func(v *eds.Engine) { v.State = eds.StateDraining })
			if sleep(ctx, 2*time.Second) {
				r.testbed.Engines[i].Crash()
				r.restart(ctx, i, t.For)
			}
		})
	case "zone-loss":
		for i := range r.testbed.Engines {
			if r.day.zone(i) == "a" {
				t.Engines = append(t.Engines, i)
			}
		}
		for i, p := range r.dispatchers {
			if r.day.zone(i) == "a" && i > 0 { // the first stays: it serves those whose own is gone
				wg.Add(1)
				go func() {
					defer wg.Done()
					p.kill()
					sleep(ctx, t.For)
					r.fail(p.startAgain(context.Background()))
				}()
			}
		}
		each(func(i int) {
			r.testbed.Engines[i].Crash()
			r.restart(ctx, i, t.For)
		})
	case "roll":
		for _, p := range r.dispatchers {
			p.restart()
			r.fail(p.startAgain(context.Background()))
			sleep(ctx, t.For/time.Duration(len(r.dispatchers)))
		}
	case "heavy-tail":
		r.load.heavyTail.Store(math.Float64bits(t.Size))
		sleep(ctx, t.For)
		r.load.heavyTail.Store(math.Float64bits(1))
	case "shift":
		if t.Class == "" {
			t.Class = r.day.Traffic[0].Class
		}
		r.load.shift.Store(&t)
		sleep(ctx, t.For)
		r.load.shift.Store(nil)
	case "hot-key":
		r.load.key.Store(math.Float64bits(t.Size))
		sleep(ctx, t.For)
		r.load.key.Store(0)
	case "flush":
		each(func(i int) { r.testbed.Engines[i].Flush() })
	case "crash":
		each(func(i int) {
			r.testbed.Engines[i].Crash()
			r.restart(ctx, i, t.For)
		})
	case "mid-answer":
		each(func(i int) {
			r.setEngineFault(i, func(f *standin.Faults) { f.DieAfterRows = int(t.Size) })
			for up := true; up && sleep(ctx, 5*time.Millisecond); {
				up, _ = r.testbed.Engines[i].Up()
			}
			if ctx.Err() == nil {
				r.restart(ctx, i, t.For)
			}
		})
	case "drain":
		each(func(i int) { r.drain(ctx, i, t.For) })
	case "roster-away":
		r.testbed.Discovery.SetUnavailable(true)
		sleep(ctx, t.For)
		r.testbed.Discovery.SetUnavailable(false)
	case "roster-late":
		r.testbed.Discovery.SetDelay(time.Duration(t.Size * float64(time.Second)))
		sleep(ctx, t.For)
		r.testbed.Discovery.SetDelay(0)
	case "return":
		for i, p := range r.dispatchers {
			if i%2 == 0 {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.kill()
				if !r.options.NoState {
					r.fail(storage.RemoveModelState(filepath.Join(r.options.Dir, fmt.Sprintf("state-%d", i))))
				}
				sleep(ctx, t.For)
				r.fail(p.startAgain(context.Background()))
			}()
		}
	case "kill":

		p := r.dispatchers[t.Dispatcher]
		p.kill()
		sleep(ctx, t.For)
		r.fail(p.startAgain(context.Background()))
	case "burst":
		r.load.burst.Store(math.Float64bits(t.Size))
		sleep(ctx, t.For)
		r.load.burst.Store(math.Float64bits(1))
	case "hot":
		r.load.hotFor.Store(math.Float64bits(t.Size))
		r.load.hot.Store(int64(t.Dispatcher))
		sleep(ctx, t.For)
		r.load.hot.Store(-1)
	case "give-up":
		r.load.abandonShare.Store(math.Float64bits(t.Size))
		sleep(ctx, t.For)
		r.load.abandonShare.Store(0)
	}
	wg.Wait()
}

// evaluate stops everything and judges what the relays saw.
func (r *run) evaluate() *Result {
	time.Sleep(200 * time.Millisecond) // for what is still on its way from dispatchers to engines
	for _, p := range r.dispatchers {
		p.stop()
	}
	var fallen []string
	for i, e := range r.testbed.Engines {
		if _, f := e.Up(); f {
			fallen = append(fallen, e.Entry.Address)
		}
		r.relays[i].Close()
	}
	for _, p := range r.dispatchers {
		p.relay.Close()
		if p.flightRelay != nil {
			p.flightRelay.Close()
		}
	}
	log := r.recorder.Stop(10 * time.Second)
	log.Fallen = fallen
	log.Notifications = r.notifications()
	for _, p := range r.dispatchers {
		log.Outages = append(log.Outages, p.killed...)
	}
	out := &Result{
		Day:          r.day,
		Verdicts:     rulecheck.Judge(r.day.Parameters(), log),
		LoggedErrors: r.load.faults,
		Requests:     len(log.Requests),
		Attempts: len(
			log.Attempts,
		),
		Seed:          r.options.Seed,
		Log:           log,
		Samples:       r.load.samples,
		EngineSamples: r.engineSamples,
		Start:         r.load.start,
	}
	for _, t := range r.day.Traffic {
		if t.Session {
			t.Class = "session"
		}
		out.Classes = append(out.Classes, *r.load.counts[t.Class])
	}
	for _, c := range out.Classes {
		if want := r.day.Expects[c.Class]; c.Share() < want {
			out.Missed = append(out.Missed, fmt.Sprintf("%s served %.1f%%, wanted %.1f%%", c.Class,
				100*c.Share(),
				100*want))
		}
	}
	for _, p := range r.dispatchers {
		lines, err := invariant.ReadViolations(p.log.Name())
		if err != nil {
			lines = append(lines, err.Error())
		}
		out.Violations = append(out.Violations, lines...)
	}
	out.Loads, out.RanTwice = ranTwice(r.testbed.Group.Ran(), r.window)
	return out
}

// ranTwice counts loads that had their effect, and names those that had it again within a window.
func ranTwice(ran map[string][]time.Time, window time.Duration) (n int, again []string) {
	for id, times := range ran {
		n++
		for i := 1; i < len(times); i++ {
			if times[i].Sub(times[i-1]) < window {
				again = append(again, id)
			}
		}
	}
	sort.Strings(again)
	return n, again
}

// notifications is what each dispatcher was told, in the judge's terms.
func (r *run) notifications() (out []rulecheck.Notification) {
	all, _ := r.testbed.Discovery.Notifications()
	for _, t := range all {
		v := rulecheck.Notification{Sent: t.Sent, At: t.At, Engines: map[string]rulecheck.Endpoint{}}
		fmt.Sscanf(t.Node, "cresspass-%s", &v.Dispatcher)
		v.Dispatcher = "d" + v.Dispatcher
		for _, e := range t.List {
			if e.State == eds.StateActive {
				v.Engines[e.Address] = rulecheck.Endpoint{Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
					Cores:   r.day.Module.KindCores[slices.Index(r.day.Module.KindNames, e.Kind)],
					Started: e.Started}
			}
		}
		out = append(out, v)
	}
	return out
}
