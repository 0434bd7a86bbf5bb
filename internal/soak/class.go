package soak

import "time"

// idempotency says whether a request of a class may be executed again.
type idempotency string

// The kinds of idempotency, by their names in the dispatcher's settings.
const (
	idempotent        idempotency = "safe"
	idempotentWithKey idempotency = "keyed" // by its idempotency key, within the deduplication window
	notIdempotent     idempotency = "unsafe"
)

// requestClass is a class of requests of the soak's fleet.
type requestClass struct {
	name                string
	idempotency         idempotency
	inOrder             bool // requests of one ordering key run one at a time
	deduplicationWindow time.Duration
	meanWork            time.Duration // on one core
	share               float64       // of the requests
}

var requestClasses = []requestClass{
	{name: "quick", idempotency: idempotent, meanWork: 40 * time.Millisecond, share: 0.55},
	{name: "load", idempotency: idempotentWithKey, deduplicationWindow: 3 * time.Second,
		meanWork: 150 * time.Millisecond, share: 0.15},
	{name: "once", idempotency: notIdempotent, meanWork: 80 * time.Millisecond, share: 0.15},
	{name: "turn", idempotency: idempotent, inOrder: true, meanWork: 60 * time.Millisecond, share: 0.15},
}

// classNamed returns the class of a name; one that is unknown is not idempotent.
func classNamed(name string) requestClass {
	for _, c := range requestClasses {
		if c.name == name {
			return c
		}
	}
	return requestClass{name: name, idempotency: notIdempotent}
}

// meanWorkSeconds is the mean work of a request over all classes, by their shares.
func meanWorkSeconds() float64 {
	work, shares := 0.0, 0.0
	for _, c := range requestClasses {
		work, shares = work+c.share*c.meanWork.Seconds(), shares+c.share
	}
	return work / shares
}
