package platform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// fakeDiscovery is a fake discovery service: it streams the events that were added, from the requested number
// on.
type fakeDiscovery struct {
	*httptest.Server
	mu           sync.Mutex
	events       []string
	lastEventIDs []string
	truncate     int  // number of streams still to be ended in the middle of their next event
	silent       bool // streams stay open and send nothing
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{}
	d.Server = httptest.NewServer(d)
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

// add adds an event: a list of one compute node, which is complete (full) or a change.
func (d *fakeDiscovery) add(full bool, id, addr, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprintf(`{"rev":%d,"pool":{"version":1,"full":%v,"servers":[{"id":%q,`+
		`"addr":%q,"zone":"z","kind":"k","cell":0,"state":%q,"weight":1,"started_ms":0}]}}`,
		len(d.events)+1, full, id, addr, state))
}

// ServeHTTP implements http.Handler.
func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID")) // without one: from the start
	d.mu.Lock()
	d.lastEventIDs = append(d.lastEventIDs, r.Header.Get("Last-Event-ID"))
	d.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	w.(http.Flusher).Flush()
	for i := 0; r.Context().Err() == nil; i++ {
		d.mu.Lock()
		list, mute, cut := d.events, d.silent, d.truncate
		if from < len(list) && cut > 0 {
			d.truncate--
		}
		d.mu.Unlock()
		for ; from < len(list) && !mute; from++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", from+1, list[from])
			if cut > 0 {
				io.WriteString(w, text[:len(text)/2])
				return
			}
			io.WriteString(w, text+text) // twice: a discovery service may repeat events
		}
		if i%20 == 0 && !mute {
			io.WriteString(w, ": here\n\n")
		}
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// polledFrom returns the Last-Event-ID of each poll.
func (d *fakeDiscovery) polledFrom() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.lastEventIDs...)
}
