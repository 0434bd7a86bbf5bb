package validation

import "fmt"

// Result is the outcome of a validation: a message is accepted, or rejected for a reason.
type Result int

// The results.
const (
	Accepted      Result = iota
	Malformed            // of no known type
	NotAggregator        // sums or relays of a member that is not an aggregator now
	OutOfRange           // impossible loads
	// ImplausibleOutage: more than half of a message's known engines are marked as ejected, or at least half
	// of the engines marked as ejected have answered this dispatcher within EvidenceTTL.
	ImplausibleOutage
	// Contradicted: other aggregators' sums or the engines' reports contradict the sums, or high sums are not
	// confirmed.
	Contradicted
	Disproportionate // one dispatcher's load far exceeds that of all others together
	SenderBlocked    // an earlier message of the sender was out of range
	UnknownEngines   // more load than is plausible on engines not known here
	resultCount
)

// ResultCount is the number of results, Accepted included.
const ResultCount = int(resultCount)

var resultNames = [ResultCount]string{
	Accepted:          "accepted",
	Malformed:         "malformed",
	NotAggregator:     "not aggregator",
	OutOfRange:        "out of range",
	ImplausibleOutage: "implausible outage",
	Contradicted:      "contradicted",
	Disproportionate:  "disproportionate",
	SenderBlocked:     "sender blocked",
	UnknownEngines:    "unknown engines",
}

// String returns the result's name.
func (r Result) String() string {
	if r < 0 || r >= resultCount {
		return fmt.Sprintf("Result(%d)", int(r))
	}
	return resultNames[r]
}
