package validation

import "fmt"

// Result tells whether a message is accepted, and if not, why.
type Result int

// The results.
const (
	Accepted          Result = iota
	Malformed                // of no known type
	NotAggregator            // sums or relays of a member that is not an aggregator now
	OutOfRange               // impossible loads
	ImplausibleOutage        // most engines are said to be ejected, or ones that have just answered here
	Contradicted             // another aggregator, or evidence here, contradicts it
	Disproportionate         // one dispatcher's load far exceeds that of all others together
	SenderBlocked            // an earlier message of the sender was out of range
	UnknownEngines           // more load than is plausible on engines not known here
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
