package thriftserver

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/thrift"
)

// Limits of what a request may say.
const (
	maxTimeLimit = time.Hour
	maxEstimate  = 1e9 // of the estimates of work and memory
	maxNameBytes = 256 // bytes of a tenant's name or an ordering key
)

// Params is what a request asked for, as far as it goes on to compute nodes.
type Params struct {
	Ticket, Class, Nonce string
	Body                 []byte
}

// parseParams turns a request into the module's event, still without its id. Danger: what is taken here goes
// into headers of calls to compute nodes, so nothing passes that is not of its form.
func parseParams(classes map[string]cresspass.Effect, q *thrift.Request) (cresspass.Event, Params, error) {
	t := Params{Ticket: q.Fields["txn"], Class: q.Fields["verb"], Nonce: q.Fields["unique"], Body: q.Body}
	ev := cresspass.Event{Type: cresspass.QueryArrived, Class: t.Class, IsRetry: q.Fields["second"] == "1"}
	effect, known := classes[t.Class]
	switch {
	case !isHex(t.Ticket, 16):
		return ev, t, fmt.Errorf("txn %.40q: want 16 hex digits", t.Ticket)
	case !known:
		return ev, t, fmt.Errorf("verb %.40q: not a class", t.Class)
	case len(t.Body) == 0:
		return ev, t, fmt.Errorf("no statement")
	case len(q.Fields["team"]) > maxNameBytes || len(q.Fields["item"]) > maxNameBytes:
		return ev, t, fmt.Errorf("team and item: want at most %d bytes", maxNameBytes)
	case t.Nonce != "" && !isHex(t.Nonce, 32) || t.Nonce == "" && effect == cresspass.IdempotentWithKey:
		return ev, t, fmt.Errorf("unique %.40q: want 32 hex digits", t.Nonce)
	}
	limit, err := parseNumber(q.Fields, "limit", maxTimeLimit.Seconds()*1e3)
	if err == nil && limit <= 0 {
		err = fmt.Errorf("limit %q: want milliseconds", q.Fields["limit"])
	}
	if err != nil {
		return ev, t, err
	}
	cost, err := parseNumber(q.Fields, "cpu", maxEstimate)
	if err != nil {
		return ev, t, err
	}
	if ev.MemoryEstimateMB, err = parseNumber(q.Fields, "heap_mb", maxEstimate); err != nil {
		return ev, t, err
	}
	// Danger: where the settings have classes that keep order (rule 5), or tenants with shares, requests name
	// them; taken for none, queries of one key run side by side.
	ev.Tenant, ev.Key = q.Fields["team"], q.Fields["item"]
	ev.RemainingDeadline = time.Duration(limit * float64(time.Millisecond))
	ev.CostEstimate = time.Duration(cost * float64(time.Millisecond))
	ev.HasCostEstimate = cost > 0
	ev.TableGroup = float64(sqlscan.Group(string(q.Body)))
	return ev, t, nil
}

func isHex(s string, n int) bool {
	return len(s) == n && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// parseNumber reads a figure from 0 to most; 0 where there is none.
func parseNumber(fields map[string]string, name string, most float64) (float64, error) {
	s, ok := fields[name]
	if !ok {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= most) {
		return 0, fmt.Errorf("%s %.40q: want a number from 0 to %v", name, s, most)
	}
	return v, nil
}
