package rulecheck

import (
	"sync"
	"time"
)

// statementWait limits how long the decoder of a request waits until the answer that issued the request's
// ticket is decoded. The answer may have come on another connection.
const statementWait = time.Second

// statementCache maps the tickets and handles of Flight SQL to their statements, for all connections. It may
// be used by several goroutines.
type statementCache struct {
	mu      sync.Mutex
	byKey   map[string]string // statement text by ticket or handle
	changed chan struct{}     // closed by the next put; nil: nothing waits
}

// put stores the statement of a ticket or a handle.
func (t *statementCache) put(key []byte, text string) {
	t.mu.Lock()
	t.byKey[string(key)] = text
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	t.mu.Unlock()
}

// get returns the statement of a ticket or a handle. The answer that issued the ticket came before the
// request that uses it, but may not be decoded yet, so get waits for the statement. It returns "" if the
// statement is still unknown after statementWait.
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
