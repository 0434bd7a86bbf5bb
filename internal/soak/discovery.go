package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint is a compute node on the list.
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

type endpointList struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

type watchEvent struct {
	Rev  int           `json:"rev"`
	Pool *endpointList `json:"pool"`
}

// discoveryServer stands in for discovery, as one dispatcher sees it: events numbered from its start, told
// at one of two addresses.
type discoveryServer struct {
	mu             sync.Mutex
	events         []watchEvent
	currentAddress int // the address that tells
	redirectedAt   time.Time
	down           bool
	silent         bool
	slow           bool
	truncating     bool
	faultChangedAt time.Time // its last trouble ended
	listeners      [2]net.Listener
	servers        [2]*http.Server
	ended          sync.WaitGroup
	changed        chan struct{} // closed when an event comes
}

// slowAnswerDelay is how long a slow discovery takes for each answer, oldAddressServesFor how long an address
// that was left keeps its streams.
const (
	slowAnswerDelay     = 2200 * time.Millisecond
	oldAddressServesFor = 1500 * time.Millisecond
)

func newDiscoveryServer() (*discoveryServer, error) {
	b := &discoveryServer{changed: make(chan struct{})}
	for i := range b.listeners {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		b.listeners[i] = ln
		b.servers[i] = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			b.serve(i, w, q)
		})}
		b.ended.Go(func() { b.servers[i].Serve(ln) })
	}
	return b, nil
}

// addr is where it tells now.
func (b *discoveryServer) addr() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listeners[b.currentAddress].Addr().String()
}

// restart numbers events anew, with a whole list first.
func (b *discoveryServer) restart(all []endpoint) []watchEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = []watchEvent{{1, &endpointList{1, true, all}}}
	return b.events
}

// publish adds an event.
func (b *discoveryServer) publish(changed ...endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.events) == 0 {
		return
	}
	b.events = append(b.events, watchEvent{len(b.events) + 1, &endpointList{len(b.events) + 1, false,
		changed}})
	close(b.changed)
	b.changed = make(chan struct{})
}

// redirect has the other address tell.
func (b *discoveryServer) redirect() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentAddress, b.redirectedAt = 1-b.currentAddress, time.Now()
	close(b.changed)
	b.changed = make(chan struct{})
}

// set changes how it behaves.
func (b *discoveryServer) set(change func(b *discoveryServer)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
	b.faultChangedAt = time.Now()
	close(b.changed)
	b.changed = make(chan struct{})
}

// faulty reports whether it was not itself at any moment since a time.
func (b *discoveryServer) faulty(since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down || b.silent || b.slow || b.truncating || b.faultChangedAt.After(since) || b.redirectedAt.After(since)
}

// hangUp ends a call without a word.
func hangUp(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		reset(c)
	}
}

func (b *discoveryServer) serve(address int, w http.ResponseWriter, q *http.Request) {
	b.mu.Lock()
	down, slow, left := b.down, b.slow, address != b.currentAddress
	b.mu.Unlock()
	if down || left {
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
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := w.(http.Flusher).Flush
	flush()
	comment := time.NewTicker(time.Second)
	defer comment.Stop()
	for q.Context().Err() == nil {
		b.mu.Lock()
		events, added, torn := b.events, b.changed, b.truncating
		down, mute, left := b.down, b.silent, address != b.currentAddress &&
			time.Since(b.redirectedAt) > oldAddressServesFor
		tells := address == b.currentAddress
		b.mu.Unlock()
		if down || left {
			hangUp(w)
			return
		}
		for ; tells && !mute && from < len(events); from++ {
			data, _ := json.Marshal(events[from])
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", from+1, data)
			if torn {
				io.WriteString(w, text[:len(text)/2])
				flush()
				hangUp(w)
				return
			}
			io.WriteString(w, text)
			flush()
		}
		select {
		case <-added:
		case <-comment.C:
			if !mute && tells {
				io.WriteString(w, ": here\n\n")
				flush()
			}
		case <-time.After(100 * time.Millisecond):
		case <-q.Context().Done():
		}
	}
}

func (b *discoveryServer) close() {
	for _, s := range b.servers {
		s.Close()
	}
	b.ended.Wait()
}
