package affinity

import (
	"strings"
	"testing"
)

func TestLimiter(t *testing.T) {
	limiter := NewLimiter(Limits{MaxTotal: 3, MaxPerUser: 2})
	for _, user := range []string{"a", "a", "b"} {
		if reason, ok := limiter.Allow(user); !ok {
			t.Error(reason)
		}
		limiter.Add(user)
	}
	if reason, ok := limiter.Allow("c"); ok || !strings.Contains(reason, "3 sessions") {
		t.Error("a fourth session with a limit of three: ", reason)
	}
	limiter.Remove("b")
	if reason, ok := limiter.Allow("a"); ok || !strings.Contains(reason, "user") {
		t.Error("a third session of a user with a limit of two: ", reason)
	}
	if _, ok := limiter.Allow("c"); !ok || limiter.Total() != 2 {
		t.Error("Remove does not free capacity")
	}
}
