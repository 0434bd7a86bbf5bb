package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cresspass"
)

// heavyTailShare is the share of queries that a fault of kind heavy-tail makes longer.
const heavyTailShare = 0.05

// costEstimateSigma is the standard deviation of the logarithm of the relative error of clients' cost
// estimates.
const costEstimateSigma = 0.2

// request is a client's query.
type request struct {
	id           cresspass.QueryID
	traffic      int // index in Config.Traffic
	class        *cresspass.Class
	firstArrival time.Duration
	work         float64 // thread seconds
	key          string
	tableGroup   int     // 0: none
	costEstimate float64 // thread seconds; 0: none
	attempts     int     // answered attempts of the client
	done         bool
}

// scheduleClients schedules the random arrivals of all traffic, and the recorded clients.
func (f *Fleet) scheduleClients() error {
	for i := range f.cfg.Traffic {
		f.startArrivals(i)
	}
	for i := range f.cfg.Replay {
		r := &f.cfg.Replay[i]
		if r.Traffic < 0 || r.Traffic >= len(f.cfg.Traffic) {
			return fmt.Errorf("model: replay %d: there is no traffic %d", i, r.Traffic)
		}
	}
	f.scheduleReplay(0)
	return nil
}

// startArrivals schedules the Poisson arrivals of one traffic, each after the one before it. All their random
// draws come from a stream of their own; otherwise, two policies would be compared on different clients.
func (f *Fleet) startArrivals(i int) {
	t := &f.cfg.Traffic[i]
	r := rand.New(rand.NewPCG(f.cfg.Seed, uint64(trafficStream+i)))
	var next func()
	next = func() {
		if t.Rate <= 0 {
			return
		}
		wait := r.ExpFloat64() / (t.Rate * f.disturbance.rateFactor(t.Class))
		f.queue.In(time.Duration(wait*float64(time.Second)), func() {
			f.handleArrival(f.drawRequest(i, r), f.pickDispatcher(r))
			next()
		})
	}
	next()
}

// drawRequest draws a client's query.
func (f *Fleet) drawRequest(traffic int, r *rand.Rand) *request {
	t := &f.cfg.Traffic[traffic]
	req := &request{traffic: traffic, class: f.cfg.class(t.Class), firstArrival: f.queue.Now(),
		work: t.Work * math.Exp(t.Spread*r.NormFloat64()-t.Spread*t.Spread/2)}
	if r.Float64() < heavyTailShare {
		req.work *= f.disturbance.tailFactor
	}
	if t.Keys > 0 {
		req.key = fmt.Sprint(t.Class, " ", r.IntN(t.Keys))
	}
	if t.Tables > 0 {
		req.tableGroup = 1 + r.IntN(t.Tables)
	}
	// Always drawn, so that the later draws are the same with and without cost estimates.
	req.costEstimate = t.CostEstimateFactor * req.work * math.Exp(costEstimateSigma*r.NormFloat64())
	if t.CostEstimateFactor == 0 {
		req.costEstimate = 0
	}
	return req
}

// pickDispatcher draws the dispatcher that a client connects to.
func (f *Fleet) pickDispatcher(r *rand.Rand) int {
	n := f.cfg.Dispatchers
	x, y := r.Float64(), r.Float64()
	if f.disturbance.hotDispatcher >= 0 && r.Float64() < f.disturbance.hotShare {
		return f.disturbance.hotDispatcher
	}
	busy := max(n/10, 1)
	if f.cfg.Imbalance > 0 && busy < n {
		if x < f.cfg.Imbalance {
			return int(y * float64(busy))
		}
		return busy + int(y*float64(n-busy))
	}
	return int(y * float64(n))
}

// scheduleReplay schedules the recorded client at an index, whose arrival schedules the next one.
func (f *Fleet) scheduleReplay(i int) {
	if i >= len(f.cfg.Replay) {
		return
	}
	r := &f.cfg.Replay[i]
	f.queue.At(r.At, func() {
		class := f.cfg.class(f.cfg.Traffic[r.Traffic].Class)
		req := &request{traffic: r.Traffic, class: class, firstArrival: f.queue.Now(), work: r.Work,
			costEstimate: r.CostEstimate, key: r.Key}
		f.handleArrival(req, r.Dispatcher%len(f.dispatchers))
		f.scheduleReplay(i + 1)
	})
}

// handleArrival sends a request to a dispatcher or, if that is down, to the next one that is up. It fails the
// request if all are down.
func (f *Fleet) handleArrival(req *request, number int) {
	if req.attempts == 0 {
		f.openRequests++
	}
	for range f.dispatchers {
		if d := f.dispatchers[number]; d.up {
			d.admit(req)
			return
		}
		number = (number + 1) % len(f.dispatchers)
	}
	f.finishRequest(req, f.dispatchers[number], Failed, 0)
}

// finishRequest delivers the outcome of a request to the client, who may retry a rejected query.
func (f *Fleet) finishRequest(req *request, d *dispatcher, outcome Outcome, retryAfter time.Duration) {
	if req.done {
		return
	}
	t := &f.cfg.Traffic[req.traffic]
	left := req.class.Deadline - (f.queue.Now() - req.firstArrival)
	req.attempts++
	if outcome == Rejected && req.attempts <= t.Retries && retryAfter > 0 && left > 2*retryAfter {
		jitter := time.Duration(f.random.Float64() * float64(retryAfter) / 2)
		f.queue.In(retryAfter+jitter, func() { f.handleArrival(req, d.number) })
		return
	}
	req.done = true
	f.openRequests--
	elapsed := f.queue.Now() - req.firstArrival
	if elapsed > req.class.Deadline+f.cfg.Module.Rules.AnswerGrace+lateTolerance {
		f.result.Violations.LateAnswers++
	}
	f.result.Requests = append(f.result.Requests, Request{Class: req.traffic, Dispatcher: d.number,
		At: req.firstArrival, Elapsed: elapsed, Outcome: outcome, Late: elapsed > req.class.LatencyObjective})
}
