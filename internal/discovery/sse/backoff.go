package sse

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delay before the discovery service is called again after a call that returned no data.
// The delay doubles each time up to Max; half of it is fixed and half of it is random. Without the random
// half, all dispatchers that lost the discovery service at the same time would reconnect at the same times.
// It is not safe for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	Random   *rand.Rand

	delay time.Duration
}

// Reset sets the delay back to Min, after a call that returned data.
func (b *Backoff) Reset() { b.delay = 0 }

// Next returns the delay before the next call.
func (b *Backoff) Next() time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	half := b.delay / 2
	return half + time.Duration(b.Random.Int64N(int64(half)+1))
}
