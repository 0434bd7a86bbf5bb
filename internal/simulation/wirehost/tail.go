package wirehost

import (
	"strings"
	"sync"
)

// maxTailBytes is how much of a program's standard error is kept for its error.
const maxTailBytes = 2000

// tailBuffer is a writer that keeps the last maxTailBytes. It is safe for concurrent use.
type tailBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (t *tailBuffer) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, b...)
	t.text = t.text[max(0, len(t.text)-maxTailBytes):]
	return len(b), nil
}

func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}
