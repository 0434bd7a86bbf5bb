package sse

import (
	"math/rand/v2"
	"time"
)

// Backoff is the delay before the discovery is polled again after a call that brought nothing: doubled each
// time up to Max, half of it fixed and half of it random. Without the random half, all dispatchers that
// lost the discovery at the same moment would come back to it at the same moments.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand

	delay time.Duration
}

// Reset begins again at Min: the last call brought something.
func (b *Backoff) Reset() { b.delay = 0 }

// Next returns the delay to wait now.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	half := b.delay / 2
	return half + time.Duration(b.Random.Int64N(int64(half)+1))
}
