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

// endpointList is the complete endpoint list, or the entries that changed.
type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

// watchEvent is an event that a watch delivers.
type watchEvent struct {
	Rev  int           `json:"rev"`
	Pool *endpointList `json:"pool"`
}

// Timing of the discovery server.
const (
	slowAnswerDelay     = 2200 * time.Millisecond // before a watch starts, while discovery is slow
	oldAddressServesFor = 1500 * time.Millisecond // after a move, until watches at the old address are reset
	keepaliveInterval   = time.Second             // between comments sent on a watch
	watchCheckInterval  = 100 * time.Millisecond
)

// discoveryServer stands in for the discovery service of one dispatcher. It serves watches at one of two
// addresses, and numbers events from 1 for each process of the dispatcher. It is safe for concurrent use.
type discoveryServer struct {
	mu             sync.Mutex
	events         []watchEvent
	currentAddress int
	redirectedAt   time.Time
	down           bool // every watch is reset
	silent         bool // open watches deliver nothing
	slow           bool // each watch starts after slowAnswerDelay
	truncating     bool // watches break off in the middle of an event
	faultChangedAt time.Time
	changed        chan struct{} // closed, and replaced, at every change

	listeners [2]net.Listener
	servers   [2]*http.Server
	ended     sync.WaitGroup
}

// newDiscoveryServer starts a server that has no events yet; restart adds the first.
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

// addr returns the address that serves watches now.
func (s *discoveryServer) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listeners[s.currentAddress].Addr().String()
}

// restart discards all events, adds the complete list as the first, and returns the events.
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

// publish adds an event with changed entries. It does nothing before the first complete list.
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

// redirect switches watches to the other address. Open watches at the old address deliver nothing more and
// are reset after oldAddressServesFor.
func (s *discoveryServer) redirect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentAddress, s.redirectedAt = 1-s.currentAddress, time.Now()
	s.notifyLocked()
}

// set starts or ends a fault by changing the server's fields.
func (s *discoveryServer) set(change func(s *discoveryServer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.faultChangedAt = time.Now()
	s.notifyLocked()
}

// notifyLocked wakes all open watches. The caller holds mu.
func (s *discoveryServer) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// faulty reports whether the server has a fault, or has changed faults or addresses since the given time.
func (s *discoveryServer) faulty(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.silent || s.slow || s.truncating || s.faultChangedAt.After(since) ||
		s.redirectedAt.After(since)
}

// serveWatch serves a watch at the address of the given index. It resets the connection while discovery is
// down, and at the address that is not the current one.
func (s *discoveryServer) serveWatch(address int, w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	refuses, slow := s.down || address != s.currentAddress, s.slow
	s.mu.Unlock()
	if refuses {
		resetConnection(w)
		return
	}
	if slow {
		select {
		case <-time.After(slowAnswerDelay):
		case <-q.Context().Done():
			return
		}
	}
	delivered, _ := strconv.Atoi(q.Header.Get("Last-Event-ID")) // 0 without the header, as on a first watch
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	stream := &watch{w: w, flush: w.(http.Flusher).Flush, delivered: delivered}
	stream.flush()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for q.Context().Err() == nil {
		state := s.watchState(address)
		if state.ended || !stream.deliver(state) {
			resetConnection(w)
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

// watchState is what a watch at one of the addresses must do now.
type watchState struct {
	ended      bool            // the watch is reset
	delivers   bool            // events and keepalives are written
	truncating bool            // the watch breaks off in the middle of its next event
	events     []watchEvent    // all events so far
	changed    <-chan struct{} // closed at the next change of the server
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
	delivered int // number of events that the dispatcher has
}

// deliver writes the events that are not delivered yet. It returns false if it truncated an event: the watch
// must end then.
func (w *watch) deliver(state watchState) bool {
	if !state.delivers {
		return true
	}
	for ; w.delivered < len(state.events); w.delivered++ {
		data, err := json.Marshal(state.events[w.delivered])
		if err != nil {
			panic(fmt.Sprintf("soak: encoding a watch event: %v", err)) // an event always has a JSON form
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

// resetConnection resets the connection of an HTTP request.
func resetConnection(w http.ResponseWriter) {
	if conn, _, ok := hijack(w); ok {
		reset(conn)
	}
}

// close ends all watches and waits for the servers.
func (s *discoveryServer) close() {
	for _, server := range s.servers {
		closeServer(server)
	}
	s.ended.Wait()
}
