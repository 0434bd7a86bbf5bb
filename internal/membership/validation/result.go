package validation

import "fmt"

// Result tells whether a message is accepted, and if not, why.
type Result int

// The results.
const (
	Accepted          Result = iota
	Malformed                // of no known type
	NotAggregator            // sums or relays of a member that is not an aggregator now
	OutOfRange               // loads that cannot be
	ImplausibleOutage        // most engines are called ejected, or such as answered here just now
	Contradicted             // another aggregator, or evidence here, says otherwise
	Disproportionate         // one dispatcher's load exceeds that of all others together by far
	SenderBlocked            // an earlier message of the sender was out of range
	UnknownEngines           // more on engines not known here than can be told from a lie
	resultCount
)

// ResultCount is how many results there are, Accepted among them.
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

func (r Result) String() string {
	if r < 0 || r >= resultCount {
		return fmt.Sprintf("Result(%d)", int(r))
	}
	return resultNames[r]
}
