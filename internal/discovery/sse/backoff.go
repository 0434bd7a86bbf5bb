package sse

import (
	"math/rand/v2"
	"time"
)

// Backoff is the time before the notice board is asked again after a call that brought nothing: doubled each
// time up to Most, and of that a half for certain and the other half by chance. Danger: without chance, all
// dispatchers that lost the board in the same moment would come back to it in the same moments.
type Backoff struct {
	Least, Most time.Duration
	Random      *rand.Rand

	wait time.Duration
}

// Heard starts anew: the last call brought something.
func (b *Backoff) Heard() { b.wait = 0 }

// Next returns the time to wait now.
func (b *Backoff) Next() time.Duration {
	b.wait = min(max(2*b.wait, b.Least), b.Most)
	return b.wait/2 + time.Duration(b.Random.Int64N(int64(b.wait/2)+1))
}
