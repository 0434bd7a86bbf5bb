package cresspass

import (
	"testing"
	"time"
)

func TestTokenBucket(t *testing.T) {
	b := tokenBucket{tokens: 2, rate: 4}
	take := func(now time.Duration, want bool) {
		t.Helper()
		if got := b.take(now, 3); got != want {
			t.Errorf("at %v: took %v, want %v, %g tokens left", now, got, want, b.tokens)
		}
	}
	take(0, true)
	take(0, true)
	take(0, false)
	take(200*ms, false)
	take(250*ms, true)
	for range 3 { // the bucket holds no more than a burst
		take(time.Minute, true)
	}
	take(time.Minute, false)
}
