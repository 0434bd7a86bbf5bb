package platform

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/sqlscan"
	"cresspass/internal/thrift"
)

// Limits of what a request may say.
const (
	limitMost = time.Hour
	valueMost = 1e9 // of the estimates of work and memory
)

// terms is what a request asked for, as far as it goes on to compute nodes.
type terms struct {
	ticket, class, nonce string
	body                 []byte
}

// reader reads requests as the settings have them. It holds no state of its own.
type reader struct {
	classes map[string]cresspass.Effect
}

func newReader(cfg *cresspass.Config) reader {
	r := reader{classes: map[string]cresspass.Effect{}}
	for _, c := range cfg.Classes {
		r.classes[c.Name] = c.Effect
	}
	return r
}

// read turns a request into the module's event, still without its id. Danger: what is taken here goes into
// headers of calls to compute nodes, so nothing passes that is not of its form.
func (r reader) read(q *thrift.Request) (cresspass.Event, terms, error) {
	t := terms{ticket: q.Fields["txn"], class: q.Fields["verb"], nonce: q.Fields["unique"], body: q.Body}
	ev := cresspass.Event{Type: cresspass.QueryTaken, Class: t.class, IsRepeat: q.Fields["second"] == "1"}
	effect, known := r.classes[t.class]
	switch {
	case !hex(t.ticket, 16):
		return ev, t, fmt.Errorf("txn %.40q: want 16 hex digits", t.ticket)
	case !known:
		return ev, t, fmt.Errorf("verb %.40q: not a class", t.class)
	case len(t.body) == 0:
		return ev, t, fmt.Errorf("no statement")
	case t.nonce != "" && !hex(t.nonce, 32) || t.nonce == "" && effect == cresspass.Keyed:
		return ev, t, fmt.Errorf("unique %.40q: want 32 hex digits", t.nonce)
	}
	limit, err := number(q.Fields, "limit", limitMost.Seconds()*1e3)
	if err == nil && limit <= 0 {
		err = fmt.Errorf("limit %q: want milliseconds", q.Fields["limit"])
	}
	if err != nil {
		return ev, t, err
	}
	cost, err := number(q.Fields, "cpu", valueMost)
	if err != nil {
		return ev, t, err
	}
	if ev.MemoryMB, err = number(q.Fields, "heap_mb", valueMost); err != nil {
		return ev, t, err
	}
	ev.TimeLeft = time.Duration(limit * float64(time.Millisecond))
	ev.Cost = time.Duration(cost * float64(time.Millisecond))
	ev.HasCost = cost > 0
	ev.Tables = float64(sqlscan.Group(string(q.Body)))
	return ev, t, nil
}

func hex(s string, n int) bool {
	return len(s) == n && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// number reads a figure from 0 to most; 0 where there is none.
func number(fields map[string]string, name string, most float64) (float64, error) {
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

// meterNames are the names of a load report's values on the sockets, with those that the settings have.
var meterNames = map[string]string{"inflight": "concurrent", "queue": "depth", "util": "load_share",
	"latency_ms": "mean_ms", "qps": "tps", "eps": "err_ps"}

// meter reads a load report (name:value, set apart by semicolons) into the settings' order.
func meter(text string, fields []string) ([]float64, bool) {
	if text == "" || len(fields) == 0 {
		return nil, false
	}
	values := make([]float64, len(fields))
	found := 0
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		name = strings.TrimSpace(name)
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, false
		}
		for i, f := range fields {
			if f == name || f == meterNames[name] {
				values[i] = v
				found++
			}
		}
	}
	return values, found == len(fields)
}
