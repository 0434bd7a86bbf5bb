package sse

import (
	"math/rand/v2"
	"time"
)

// Backoff is the time before the notice board is asked again after a call that brought nothing: doubled each
// time up to Most, and of that a half for certain and the other half by chance. Danger: without chance, all
// dispatchers that lost the board in the same moment would come back to it in the same moments.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand

	delay time.Duration
}

// Reset starts anew: the last call brought something.
func (b *Backoff) Reset() { b.delay = 0 }

// Next returns the time to wait now.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	return b.delay/2 + time.Duration(b.Random.Int64N(int64(b.delay/2)+1))
}
