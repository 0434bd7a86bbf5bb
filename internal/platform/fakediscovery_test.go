package platform

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// fakeDiscovery stands in for the discovery service: it streams the events that were added, from the
// number asked for.
type fakeDiscovery struct {
	*httptest.Server
	mu           sync.Mutex
	events       []string
	lastEventIDs []string
	truncate     int  // breaks off in the middle of the next event, so many times
	silent       bool // keeps open and says nothing
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	b := &fakeDiscovery{}
	b.Server = httptest.NewServer(b)
	t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	return b
}

func (b *fakeDiscovery) add(full bool, id, addr, state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, fmt.Sprintf(`{"rev":%d,"pool":{"version":1,"full":%v,"servers":[{"id":%q,`+
		`"addr":%q,"zone":"z","kind":"k","cell":0,"state":%q,"weight":1,"started_ms":0}]}}`,
		len(b.events)+1, full, id, addr, state))
}

func (b *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from := 0
	fmt.Sscan(r.Header.Get("Last-Event-ID"), &from)
	b.mu.Lock()
	b.lastEventIDs = append(b.lastEventIDs, r.Header.Get("Last-Event-ID"))
	b.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(200)
	w.(http.Flusher).Flush()
	for i := 0; r.Context().Err() == nil; i++ {
		b.mu.Lock()
		list, mute, cut := b.events, b.silent, b.truncate
		if from < len(list) && cut > 0 {
			b.truncate--
		}
		b.mu.Unlock()
		for ; from < len(list) && !mute; from++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", from+1, list[from])
			if cut > 0 {
				io.WriteString(w, text[:len(text)/2])
				return
			}
			io.WriteString(w, text+text) // twice, as it may
		}
		if i%20 == 0 && !mute {
			io.WriteString(w, ": here\n\n")
		}
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *fakeDiscovery) polledFrom() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.lastEventIDs...)
}
