package thriftserver

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/protocol/sqlscan"
	"cresspass/internal/protocol/thrift"
)

// Bounds of the values in a request.
const (
	maxTimeLimit = time.Hour
	maxEstimate  = 1e9 // of work in ms and of memory in MB
	maxNameBytes = 256 // of a tenant's name or an ordering key
	ticketDigits = 16
	nonceDigits  = 32
)

// Names of the fields of a dispatch call.
const (
	fieldTicket = "txn"
	fieldClass  = "verb"
	fieldNonce  = "unique"
	fieldRepeat = "second" // "1" marks a retry of an earlier request
	fieldLimit  = "limit"  // the client's deadline in ms
	fieldCost   = "cpu"    // estimate of the work in ms
	fieldMemory = "heap_mb"
	fieldTenant = "team"
	fieldKey    = "item" // ordering key
)

var errNoStatement = errors.New("no statement")

// Params holds the parameters of a request that are forwarded to compute nodes.
type Params struct {
	Ticket, Class, Nonce string
	Body                 []byte
}

// parseParams converts a request to the module's event, whose Query is not set yet. Accepted values are
// written into the headers of calls to compute nodes, so a value with a wrong format must be rejected: it
// could forge a header.
//
// Clients receive the texts of the errors.
func parseParams(effects map[string]cresspass.Effect,
	call *thrift.Dispatch) (cresspass.Event, Params, error) {
	fields := call.Fields
	params := Params{Ticket: fields.Get(fieldTicket), Class: fields.Get(fieldClass),
		Nonce: fields.Get(fieldNonce), Body: call.Body}
	ev := cresspass.Event{Type: cresspass.QueryArrived, Class: params.Class,
		IsRetry: fields.Get(fieldRepeat) == "1"}
	effect, known := effects[params.Class]
	if err := params.check(fields, effect, known); err != nil {
		return ev, params, err
	}
	limit, err := parseNumber(fields, fieldLimit, maxTimeLimit.Seconds()*1e3)
	if err == nil && limit <= 0 {
		err = fmt.Errorf("limit %q: want milliseconds", fields.Get(fieldLimit))
	}
	if err != nil {
		return ev, params, err
	}
	cost, err := parseNumber(fields, fieldCost, maxEstimate)
	if err != nil {
		return ev, params, err
	}
	if ev.MemoryEstimateMB, err = parseNumber(fields, fieldMemory, maxEstimate); err != nil {
		return ev, params, err
	}
	// Requests name the ordering key and the tenant if the settings have ordered classes (rule 5) or tenants
	// with quotas. Without the key, queries of one key would run side by side.
	ev.Tenant, ev.Key = fields.Get(fieldTenant), fields.Get(fieldKey)
	ev.RemainingDeadline = milliseconds(limit)
	ev.CostEstimate = milliseconds(cost)
	ev.HasCostEstimate = cost > 0
	ev.TableGroup = float64(sqlscan.Group(string(call.Body)))
	return ev, params, nil
}

// check returns an error if a forwarded value, the class, the statement, the tenant or the ordering key is
// invalid. effect is that of the class; knownClass is false for a class that is not in the settings.
func (p *Params) check(fields thrift.Fields, effect cresspass.Effect, knownClass bool) error {
	switch {
	case !isHex(p.Ticket, ticketDigits):
		return fmt.Errorf("txn %.40q: want %d hex digits", p.Ticket, ticketDigits)
	case !knownClass:
		return fmt.Errorf("verb %.40q: not a class", p.Class)
	case len(p.Body) == 0:
		return errNoStatement
	case len(fields.Get(fieldTenant)) > maxNameBytes || len(fields.Get(fieldKey)) > maxNameBytes:
		return fmt.Errorf("team and item: want at most %d bytes", maxNameBytes)
	case p.Nonce != "" && !isHex(p.Nonce, nonceDigits),
		p.Nonce == "" && effect == cresspass.IdempotentWithKey:
		return fmt.Errorf("unique %.40q: want %d hex digits", p.Nonce, nonceDigits)
	}
	return nil
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func isHex(s string, digits int) bool {
	return len(s) == digits && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// parseNumber parses the field with the given name, a number from 0 to maxValue. It returns 0 if the field is
// missing.
func parseNumber(fields thrift.Fields, name string, maxValue float64) (float64, error) {
	text, ok := fields.Lookup(name)
	if !ok {
		return 0, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxValue) {
		return 0, fmt.Errorf("%s %.40q: want a number from 0 to %v", name, text, maxValue)
	}
	return value, nil
}
