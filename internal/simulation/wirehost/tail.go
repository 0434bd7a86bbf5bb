package wirehost

import (
	"strings"
	"sync"
)

// maxTailBytes is how much of the end of a program's standard error is kept for error messages.
const maxTailBytes = 2000

// tailBuffer is a writer that keeps the last maxTailBytes bytes written. It is safe for concurrent use.
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

// String returns the kept bytes without leading and trailing white space.
func (t *tailBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}
