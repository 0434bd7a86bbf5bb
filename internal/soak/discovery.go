package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is a compute node on the endpoint list.
type endpoint struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// endpointList is the whole list, or what changed of it.
type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// watchEvent is an event of a watch.
type watchEvent struct {
	Rev  int           `json:"rev"`
	Pool *endpointList `json:"pool"`
}

// Times of a discovery.
const (
	slowAnswerDelay     = 2200 * time.Millisecond // a slow discovery takes it for each answer
	oldAddressServesFor = 1500 * time.Millisecond // an address that was left keeps its watches
	keepaliveInterval   = time.Second             // between comments on a watch
	watchCheckInterval  = 100 * time.Millisecond
)

// discoveryServer stands in for the discovery service as one dispatcher sees it: watches at one of two
// addresses, with events numbered anew for each process.
type discoveryServer struct {
	mu             sync.Mutex
	events         []watchEvent
	currentAddress int
	redirectedAt   time.Time
	down           bool // refuses every connection
	silent         bool // watches deliver nothing
	slow           bool // each answer takes slowAnswerDelay
	truncating     bool // watches break off in the middle of an event
	faultChangedAt time.Time
	changed        chan struct{} // closed, and replaced, at every change

	listeners [2]net.Listener
	servers   [2]*http.Server
	ended     sync.WaitGroup
}

// newDiscoveryServer starts a discovery without any event; restart gives it the first.
func newDiscoveryServer() (*discoveryServer, error) {
	s := &discoveryServer{changed: make(chan struct{})}
	for i := range s.listeners {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.listeners[i] = ln
		s.servers[i] = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			s.serveWatch(i, w, q)
		})}
		s.ended.Go(func() { serve(s.servers[i], ln) })
	}
	return s, nil
}

// addr is the address that serves watches now.
func (s *discoveryServer) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listeners[s.currentAddress].Addr().String()
}

// restart numbers events anew, with a complete list as the first, and returns them.
func (s *discoveryServer) restart(all []endpoint) []watchEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = []watchEvent{{Rev: 1, Pool: &endpointList{Version: 1, Full: true, Servers: all}}}
	return s.events
}

// eventList returns the events so far.
func (s *discoveryServer) eventList() []watchEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// publish adds an event, unless there is no list yet that it could change.
func (s *discoveryServer) publish(updates ...endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) == 0 {
		return
	}
	revision := len(s.events) + 1
	s.events = append(s.events,
		watchEvent{Rev: revision, Pool: &endpointList{Version: revision, Servers: updates}})
	s.notifyLocked()
}

// redirect has the other address serve watches.
func (s *discoveryServer) redirect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentAddress, s.redirectedAt = 1-s.currentAddress, time.Now()
	s.notifyLocked()
}

// set begins or ends a fault.
func (s *discoveryServer) set(change func(s *discoveryServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.faultChangedAt = time.Now()
	s.notifyLocked()
}

// notifyLocked wakes all watches.
func (s *discoveryServer) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// faulty reports whether it had a fault or was redirected at any moment since a time.
func (s *discoveryServer) faulty(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.silent || s.slow || s.truncating || s.faultChangedAt.After(since) ||
		s.redirectedAt.After(since)
}

// serveWatch serves a watch at one of the addresses.
func (s *discoveryServer) serveWatch(address int, w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	refuses, slow := s.down || address != s.currentAddress, s.slow
	s.mu.Unlock()
	if refuses {
		hangUp(w)
		return
	}
	if slow {
		select {
		case <-time.After(slowAnswerDelay):
		case <-q.Context().Done():
			return
		}
	}
	delivered, _ := strconv.Atoi(q.Header.Get("Last-Event-ID")) // a first watch has none: 0
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	stream := &watch{w: w, flush: w.(http.Flusher).Flush, delivered: delivered}
	stream.flush()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for q.Context().Err() == nil {
		state := s.watchState(address)
		if state.ended || !stream.deliver(state) {
			hangUp(w)
			return
		}
		select {
		case <-state.changed:
		case <-keepalive.C:
			if state.delivers {
				stream.write(": here\n\n")
			}
		case <-time.After(watchCheckInterval):
		case <-q.Context().Done():
		}
	}
}

// watchState is what a watch at one of the addresses has to do now.
type watchState struct {
	ended      bool
	delivers   bool
	truncating bool
	events     []watchEvent
	changed    <-chan struct{}
}

func (s *discoveryServer) watchState(address int) watchState {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := address == s.currentAddress
	return watchState{
		ended:      s.down || !current && time.Since(s.redirectedAt) > oldAddressServesFor,
		delivers:   current && !s.silent,
		truncating: s.truncating,
		events:     s.events,
		changed:    s.changed,
	}
}

// watch is an open watch: a stream of server-sent events.
type watch struct {
	w         http.ResponseWriter
	flush     func()
	delivered int // events
}

// deliver writes the events that were not delivered. It returns false where it broke off in the middle of
// one.
func (w *watch) deliver(state watchState) bool {
	if !state.delivers {
		return true
	}
	for ; w.delivered < len(state.events); w.delivered++ {
		data, err := json.Marshal(state.events[w.delivered])
		if err != nil {
			panic(fmt.Sprintf("soak: encoding a watch event: %v", err)) // it has no value that JSON lacks
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", w.delivered+1, data)
		if state.truncating {
			w.write(event[:len(event)/2])
			return false
		}
		w.write(event)
	}
	return true
}

func (w *watch) write(text string) {
	writeBestEffort(w.w, []byte(text))
	w.flush()
}

// hangUp resets the connection of a call without an answer.
func hangUp(w http.ResponseWriter) {
	if conn, _, ok := hijack(w); ok {
		reset(conn)
	}
}

// close ends all watches.
func (s *discoveryServer) close() {
	for _, server := range s.servers {
		closeServer(server)
	}
	s.ended.Wait()
}
