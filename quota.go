package cresspass

import "time"

const (
	quotaBurstSeconds = 2.0 // seconds of a tenant's quota that may come at once...
	quotaMinBurst     = 8.0 // ...and this many queries more: a small part of a quota comes in clumps
)

// tokenBucket is this gateway's part of a tenant's quota.
type tokenBucket struct {
	tokens, rate float64
	updatedAt    time.Duration
}

// take reports whether a bucket that holds at most burst had a token left, and takes it.
func (b *tokenBucket) take(now time.Duration, burst float64) bool {
	b.tokens = min(burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
