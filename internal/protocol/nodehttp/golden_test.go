package nodehttp

import (
	"testing"

	"cresspass/internal/goldentest"
)

// TestGoldenRequests checks that each call to a compute node is encoded to the recorded bytes.
func TestGoldenRequests(t *testing.T) {
	const host, ticket = "10.0.0.7:8080", "00ff00ff00ff00ff"
	const nonce = "0123456789abcdef0123456789abcdef"
	for name, request := range map[string][]byte{
		"start": AppendRequest(nil, "POST", "/x", host, []byte("SELECT a FROM t_3.u"), "X-Ticket", ticket,
			"X-Queue", "quick", "X-Max-Ms", "1500", "X-Nonce", nonce, "Grant-Mb", "64", "Rank", "3"),
		"start_without_optional": AppendRequest(nil, "POST", "/x", host, []byte("SELECT 1"),
			"X-Ticket", ticket, "X-Queue", "quick", "X-Max-Ms", "1", "X-Nonce", "", "Grant-Mb", "",
			"Rank", ""),
		"start_empty_body": AppendRequest(nil, "POST", "/x", host, nil, "X-Ticket", ticket),
		"poll":             AppendRequest(nil, "GET", "/x/"+ticket+"/0", host, nil),
		"delete":           AppendRequest(nil, "DELETE", "/x/"+ticket, host, nil),
		"ping":             AppendRequest(nil, "GET", "/ping", host, nil),
		"load":             AppendRequest([]byte("earlier bytes"), "GET", "/load", host, nil),
	} {
		goldentest.Compare(t, "golden/"+name+".http", request)
	}
}
