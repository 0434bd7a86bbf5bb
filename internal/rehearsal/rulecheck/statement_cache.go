package rulecheck

import (
	"sync"
	"time"
)

// statementWait limits the wait of a request's decoder for the answer that named its ticket, on another
// connection.
const statementWait = time.Second

// statementCache has the statements behind tickets and handles of Flight SQL, of all connections.
type statementCache struct {
	mu      sync.Mutex
	byKey   map[string]string
	changed chan struct{} // closed and made anew with each entry
}

// put stores the statement behind a ticket or a handle.
func (t *statementCache) put(key []byte, text string) {
	t.mu.Lock()
	t.byKey[string(key)] = text
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	t.mu.Unlock()
}

// get waits for a statement: the answer that named its ticket came before the request that uses it, but the
// decoder of the answer may be a moment behind. It returns "" where the statement does not come.
func (t *statementCache) get(key []byte) string {
	timeout := time.After(statementWait)
	for {
		t.mu.Lock()
		text, ok := t.byKey[string(key)]
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		changed := t.changed
		t.mu.Unlock()
		if ok {
			return text
		}
		select {
		case <-changed:
		case <-timeout:
			return ""
		}
	}
}
