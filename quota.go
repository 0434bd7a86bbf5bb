package cresspass

import "time"

const (
	quotaBurstSeconds = 2.0 // seconds of a tenant's quota that may arrive at once...
	quotaMinBurst     = 8.0 // ...plus this many queries, as a small share of a quota arrives in bursts
)

// tokenBucket limits a tenant to this gateway's share of its quota. rate is in tokens per second.
type tokenBucket struct {
	tokens, rate float64
	updatedAt    time.Duration
}

// take refills the bucket up to burst, takes one token and reports whether there was one.
func (b *tokenBucket) take(now time.Duration, burst float64) bool {
	b.tokens = min(burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
