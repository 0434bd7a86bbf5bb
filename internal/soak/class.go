package soak

import "time"

// idempotency is whether a request of a class may be executed again, and under which condition.
type idempotency string

// The kinds of idempotency, with their values in the dispatcher's settings.
const (
	idempotent        idempotency = "safe"
	idempotentWithKey idempotency = "keyed" // only with the same key, within the deduplication window
	notIdempotent     idempotency = "unsafe"
)

// requestClass is a class of requests that the soak's clients send.
type requestClass struct {
	name                string
	idempotency         idempotency
	inOrder             bool // requests with the same ordering key run one at a time
	deduplicationWindow time.Duration
	meanWork            time.Duration // run time on one core
	share               float64       // of all requests
}

var requestClasses = []requestClass{
	{name: "quick", idempotency: idempotent, meanWork: 40 * time.Millisecond, share: 0.55},
	{name: "load", idempotency: idempotentWithKey, deduplicationWindow: 3 * time.Second,
		meanWork: 150 * time.Millisecond, share: 0.15},
	{name: "once", idempotency: notIdempotent, meanWork: 80 * time.Millisecond, share: 0.15},
	{name: "turn", idempotency: idempotent, inOrder: true, meanWork: 60 * time.Millisecond, share: 0.15},
}

// classNamed returns the class of a name. An unknown class counts as not idempotent.
func classNamed(name string) requestClass {
	for _, c := range requestClasses {
		if c.name == name {
			return c
		}
	}
	return requestClass{name: name, idempotency: notIdempotent}
}

// meanWorkSeconds returns the mean work of a request in seconds, weighted by the shares of the classes.
func meanWorkSeconds() float64 {
	work, shares := 0.0, 0.0
	for _, c := range requestClasses {
		work, shares = work+c.share*c.meanWork.Seconds(), shares+c.share
	}
	return work / shares
}
