package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"

	"cresspass"
)

// Outcome is how a request ended for its client.
type Outcome int

// The outcomes of a request.
const (
	Served    Outcome = iota
	Rejected          // by SQLSTATE 53000
	Failed            // by any other error
	Abandoned         // the client gave up: by a cancel, by closing the connection, or before sending
	outcomeCount
)

const (
	noDispatcher      = -1          // as workload.hotDispatcher: arrivals are spread evenly
	arrivalStream     = 11          // the random stream of arrivals
	maxServedMicros   = 120_000_000 // upper end of the latency histograms, in microseconds
	histogramDigits   = 3           // significant digits of the latency histograms
	heavyTailOneIn    = 20          // on average, one query in this number gets heavyTailFactor
	popularTableSkew  = 2           // exponent by which the first table groups are queried more often
	defaultRetryDelay = 200 * time.Millisecond
	abandonGrace      = 2 * time.Second // after the deadline; ends a request that the dispatcher has lost
)

// workload sends queries at their arrival times, open loop: an arrival never waits for earlier answers.
type workload struct {
	day    *Day
	addrs  []string // of the relay before each dispatcher
	flight []string // the same for Flight SQL
	random *rand.Rand
	idle   []*pool        // for each dispatcher
	start  time.Time      // of the day
	work   sync.WaitGroup // arrivals that are not finished

	// Parameters that faults change. Those of type Uint64 hold math.Float64bits.
	burstFactor     atomic.Uint64         // multiplies the rate of all arrivals
	heavyTailFactor atomic.Uint64         // multiplies the work of one query in heavyTailOneIn
	abandonShare    atomic.Uint64         // share of the clients that give up early
	hotKeyShare     atomic.Uint64         // share of the keyed queries that get the first key
	hotShare        atomic.Uint64         // share of the arrivals that go to hotDispatcher
	hotDispatcher   atomic.Int64          // index, or noDispatcher
	shift           atomic.Pointer[Fault] // the current fault of kind "shift"; nil: none

	mu          sync.Mutex
	counts      map[string]*Count // by the class under which traffic is counted
	nextID      int
	errorCounts map[string]int // failed requests by SQLSTATE, or as sqlState returns it
	samples     []Sample
}

// newWorkload returns the workload of a day against the dispatchers behind addrs.
func newWorkload(d *Day, seed uint64, addrs []string) *workload {
	l := &workload{
		day:         d,
		addrs:       addrs,
		random:      rand.New(rand.NewPCG(seed, arrivalStream)),
		counts:      map[string]*Count{},
		errorCounts: map[string]int{},
	}
	for range addrs {
		l.idle = append(l.idle, &pool{})
	}
	for i := range d.Traffic {
		class := countedClass(&d.Traffic[i])
		l.counts[class] = &Count{Class: class, Times: hdrhistogram.New(1, maxServedMicros, histogramDigits)}
	}
	l.burstFactor.Store(math.Float64bits(1))
	l.hotDispatcher.Store(noDispatcher)
	l.heavyTailFactor.Store(math.Float64bits(1))
	return l
}

// countedClass returns the class under which traffic is counted.
func countedClass(t *Traffic) string {
	if t.Session {
		return sessionClass
	}
	return t.Class
}

// arrival is one query, or one session, that a client sends.
type arrival struct {
	traffic     *Traffic
	at          time.Duration // intended start, since the day's start
	dispatcher  int
	work        float64 // thread seconds
	key         string
	tables      string
	simple      bool // by PostgreSQL's simple protocol
	driver      driver
	abandon     time.Duration // after which the client gives up; 0: it does not
	disconnects bool          // the client gives up by closing the connection, not by a cancel
}

// run sends arrivals until the day is over or the context ends, and waits for their answers.
func (l *workload) run(ctx context.Context, start time.Time) {
	next := make([]time.Duration, len(l.day.Traffic))
	for i := range l.day.Traffic {
		next[i] = l.nextGap(&l.day.Traffic[i])
	}
	for {
		first := 0
		for i := range next {
			if next[i] < next[first] {
				first = i
			}
		}
		at := next[first]
		if at >= l.day.Length {
			break
		}
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			l.work.Wait()
			return
		}
		t := &l.day.Traffic[first]
		a := l.drawArrival(t)
		a.at = at
		next[first] += l.nextGap(t)
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			l.sendWithRetries(ctx, start, a)
		}()
	}
	l.work.Wait()
	for _, p := range l.idle {
		for _, c := range p.free {
			c.close(false)
		}
	}
}

// nextGap draws the time until the next arrival of a traffic; without a rate it is the day's length.
func (l *workload) nextGap(t *Traffic) time.Duration {
	if t.Rate <= 0 {
		return l.day.Length
	}
	rate := t.Rate * math.Float64frombits(l.burstFactor.Load())
	if s := l.shift.Load(); s != nil && s.Class == t.Class {
		rate *= s.Size
	} else if s != nil {
		rate /= 2
	}
	return time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
}

// drawArrival draws a query. The order of the draws must not change, so that a seed always gives the same
// day.
func (l *workload) drawArrival(t *Traffic) arrival {
	r := l.random
	a := arrival{traffic: t, dispatcher: r.IntN(len(l.addrs)), simple: r.IntN(2) == 0,
		driver: driver(r.IntN(3) / 2)}
	if hot := l.hotDispatcher.Load(); hot >= 0 && r.Float64() < math.Float64frombits(l.hotShare.Load()) {
		a.dispatcher = int(hot)
	}
	a.work = t.Work * math.Exp(r.NormFloat64()*t.Spread-t.Spread*t.Spread/2)
	if r.IntN(heavyTailOneIn) == 0 {
		a.work *= math.Float64frombits(l.heavyTailFactor.Load())
	}
	if t.Keys > 0 {
		a.key = fmt.Sprintf("k%d", r.IntN(t.Keys))
		if r.Float64() < math.Float64frombits(l.hotKeyShare.Load()) {
			a.key = "k0"
		}
	}
	if t.Tables > 0 {
		a.tables = fmt.Sprintf("t%d", int(float64(t.Tables)*math.Pow(r.Float64(), popularTableSkew)))
	}
	if l.day.Flight > 0 && r.Float64() < l.day.Flight {
		a.simple, a.driver = true, driverFlight+driver(r.IntN(2))
		if t.Session {
			a.driver = driverFlight
		}
	}
	if r.Float64() < math.Float64frombits(l.abandonShare.Load()) {
		a.abandon = time.Duration(r.Float64() * 2 * a.work * float64(time.Second))
		a.disconnects = r.IntN(2) == 0
	}
	return a
}

// sendWithRetries sends a query, and sends it again after a rejection as often as the class's clients retry.
// It stops early if the deadline is nearer than retryDelay. The retry itself waits for the delay that a
// rejection by Flight SQL names, or else for retryDelay.
func (l *workload) sendWithRetries(ctx context.Context, start time.Time, a arrival) {
	intended := start.Add(a.at)
	deadline := intended.Add(l.classDeadline(a.traffic.Class))
	for attempt := 0; ; attempt++ {
		outcome, err := l.sendOnce(ctx, a, attempt, deadline)
		l.recordOutcome(a, outcome, time.Since(intended), err)
		if outcome != Rejected || attempt >= a.traffic.Retries {
			return
		}
		delay := retryDelay(err)
		if time.Until(deadline) < delay {
			return
		}
		if flightDelay := flightRetryDelay(err); flightDelay > 0 {
			delay = flightDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
	}
}

// classDeadline returns the deadline of a class.
func (l *workload) classDeadline(class string) (deadline time.Duration) {
	for _, c := range l.day.Module.Classes {
		if c.Name == class {
			deadline = c.Deadline
		}
	}
	return deadline
}

// retryDelay returns the delay that a rejection received by pgx names in its hint. It returns
// defaultRetryDelay if there is none, and for the errors of all other drivers.
func retryDelay(err error) time.Duration {
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Hint == "" {
		return defaultRetryDelay
	}
	var ms int
	if _, err := fmt.Sscanf(e.Hint, "Come back in %d ms.", &ms); err != nil {
		return defaultRetryDelay
	}
	return time.Duration(ms) * time.Millisecond
}

// recordOutcome counts the outcome of a request. took is from the intended start to the answer.
func (l *workload) recordOutcome(a arrival, outcome Outcome, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	class := countedClass(a.traffic)
	l.samples = append(l.samples, Sample{At: max(0, time.Since(l.start)), Class: class, Outcome: outcome,
		Took: took, Dispatcher: a.dispatcher})
	c := l.counts[class]
	c.Requests[outcome]++
	if outcome == Served {
		// A time beyond the histogram's range is only missing from the percentiles; no deadline is that
		// long.
		_ = c.Times.RecordValue(took.Microseconds())
	}
	if outcome == Failed {
		l.errorCounts[sqlState(err)]++
	}
}

const (
	stateRejected   = "53000"      // SQLSTATE of a rejection
	stateConnection = "connection" // in place of a SQLSTATE: the error is no answer of the dispatcher
)

// sqlState returns the SQLSTATE of an error, or else what flightSQLState returns, or stateConnection.
func sqlState(err error) string {
	var pgxError *pgconn.PgError
	var pqError *pq.Error
	switch {
	case errors.As(err, &pgxError):
		return pgxError.Code
	case errors.As(err, &pqError):
		return string(pqError.Code)
	}
	if code := flightSQLState(err); code != "" {
		return code
	}
	return stateConnection
}

// sendOnce sends a query once, and returns its outcome.
func (l *workload) sendOnce(ctx context.Context, a arrival, attempt int, deadline time.Time) (
	Outcome, error) {
	left := time.Until(deadline)
	if left <= 0 {
		return Abandoned, nil
	}
	id := l.newID(attempt)
	c, err := l.client(ctx, a)
	if err != nil {
		return Failed, err
	}
	limit := left + abandonGrace
	if a.abandon > 0 {
		limit = a.abandon
	}
	limitCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	switch {
	case a.traffic.Session:
		err = runTransaction(limitCtx, c, a, id)
	case a.abandon > 0 && a.disconnects:
		stop := context.AfterFunc(limitCtx, func() { c.close(true) })
		defer stop()
		err = c.do(ctx, a.simple, statementText(a, id, attempt, left), parameter(a, id, attempt, left))
	default:
		err = c.do(limitCtx, a.simple, statementText(a, id, attempt, left), parameter(a, id, attempt, left))
	}
	abandoned := limitCtx.Err() != nil
	if err != nil && (abandoned || c.broken()) {
		c.close(true)
	} else {
		l.returnClient(a, c)
	}
	switch {
	case err == nil:
		return Served, nil
	case sqlState(err) == stateRejected:
		return Rejected, err
	case abandoned && a.abandon > 0:
		return Abandoned, err
	}
	return Failed, err
}

// newID returns a new value of the tag id.
func (l *workload) newID(attempt int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return fmt.Sprintf("q%d-%d", l.nextID, attempt)
}

// Load sends queries to the dispatchers at addrs for a time, open loop, and returns the counts of outcomes
// by class, and the number of failures by SQLSTATE or other code. deadline holds for all classes.
func Load(ctx context.Context, addrs []string, traffic []Traffic, deadline, length time.Duration,
	seed uint64) ([]Count, map[string]int) {
	d := &Day{Traffic: traffic, Length: length}
	for _, t := range traffic {
		d.Module.Classes = append(d.Module.Classes, cresspass.Class{Name: t.Class, Deadline: deadline})
	}
	l := newWorkload(d, seed, addrs)
	l.start = time.Now()
	l.run(ctx, l.start)
	var out []Count
	for _, t := range traffic {
		out = append(out, *l.counts[t.Class])
	}
	return out, l.errorCounts
}
