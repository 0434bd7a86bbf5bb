// Package classify says what a statement is to the module: class, key, tables, tenant, cost, time left. It
// reads a sqlcommenter comment first, then the match rules in their order, then the default. It does no I/O.
package classify

import (
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/backend/enginequery"
	"cresspass/internal/config"
	"cresspass/internal/protocol/sqlscan"
)

// Client is what is known of who sends a statement.
type Client struct {
	User, Database, Application string
	Timeout                     time.Duration // 0: none
	Repeat                      bool          // its protocol says that it was sent before
}

// Classifier holds the settings. It may be used by many goroutines.
type Classifier struct {
	matches           []config.Rule
	fallback          string
	writes, describes string
	classes           map[string]cresspass.Class
}

// New returns a classifier for checked settings.
func New(cfg *config.Config) *Classifier {
	c := &Classifier{matches: cfg.Matches, fallback: cfg.DefaultClass, writes: cfg.WriteClass,
		describes: cfg.DescribeClass, classes: map[string]cresspass.Class{}}
	for _, k := range cfg.Module.Classes {
		c.classes[k.Name] = k
	}
	return c
}

// Fault is why a statement is turned away before any engine sees it.
type Fault struct{ Code, Message string }

// Query returns the event that tells the module of a statement, or why there is none.
func (c *Classifier) Query(id cresspass.QueryID, who Client, a *enginequery.Ask) (cresspass.Event, *Fault) {
	ev := cresspass.Event{Type: cresspass.QueryTaken, Query: id, IsRepeat: who.Repeat}
	var tags map[string]string
	if strings.Contains(a.Text, "='") { // most texts have no tags, and are not scanned for them
		tags = sqlscan.Tags(a.Text)
	}
	for i := range c.matches {
		m := &c.matches[i]
		if (m.User == "" || m.User == who.User) && (m.Database == "" || m.Database == who.Database) &&
			(m.Application == "" || m.Application == who.Application) &&
			(m.Pattern == nil || m.Pattern.MatchString(a.Text)) {
			if ev.Class == "" {
				ev.Class = m.Class
			}
			if ev.Tenant == "" {
				ev.Tenant = m.Tenant
			}
		}
	}
	if v, ok := tags["class"]; ok {
		if _, known := c.classes[v]; !known {
			return ev, &Fault{"22023", "the comment names class " + strconv.Quote(v) +
				", which the settings do not know"}
		}
		ev.Class = v
	}
	if ev.Class == "" {
		ev.Class = c.fallback
	}
	if a.Kind == enginequery.DescribeStatement || a.Kind == enginequery.DescribePortal {
		// Danger: a description is asked for on the way to a request. Counted as one, it would let more
		// further attempts go than the requests allow (rule 7).
		ev.Class, ev.Uncounted = c.describes, true
	} else {
		for i := range a.Parsed {
			ev.IsWrite = ev.IsWrite || a.Parsed[i].Writes
		}
		// Danger: a statement that writes, in a class that is safe to repeat, would be run twice after a
		// doubt.
		if ev.IsWrite && c.classes[ev.Class].Effect == cresspass.Safe {
			if c.writes == "" {
				return ev, &Fault{"0A000", "the statement may write, its class " + strconv.Quote(ev.Class) +
					" is one that is repeated, and the settings name no write_class"}
			}
			ev.Class = c.writes
		}
	}
	class := c.classes[ev.Class]
	ev.IsWrite = ev.IsWrite || class.Effect != cresspass.Safe
	ev.TimeLeft = class.Deadline
	if who.Timeout > 0 {
		ev.TimeLeft = min(ev.TimeLeft, who.Timeout)
	}
	if ms, ok := number(tags["wait_ms"]); ok {
		ev.TimeLeft = min(ev.TimeLeft, time.Duration(ms*float64(time.Millisecond)))
	}
	if ev.Uncounted {
		// Danger: what a comment tells of cost, memory, key and tables is the run's. A description that was
		// taken to cost as much would be refused, or wait for a key's turn.
		tags = map[string]string{"tenant": tags["tenant"], "repeat": tags["repeat"]}
	}
	c.tagged(&ev, tags)
	return ev, nil
}

// Safe reports whether a statement may be run any number of times: it writes nothing and its class is one
// that is repeated.
func (c *Classifier) Safe(who Client, a *enginequery.Ask) bool {
	ev, fault := c.Query(0, who, a)
	return fault == nil && !ev.IsWrite
}

// tagged takes in what a comment says besides the class. Values that are no numbers say nothing.
func (c *Classifier) tagged(ev *cresspass.Event, tags map[string]string) {
	if v := tags["tenant"]; v != "" && ev.Tenant == "" {
		ev.Tenant = v
	}
	ev.Key = tags["key"]
	if v, ok := tags["tables"]; ok {
		if n, err := strconv.ParseFloat(v, 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			ev.Tables = n
		} else {
			h := fnv.New32a()
			h.Write([]byte(v))
			ev.Tables = float64(h.Sum32())
		}
	}
	if ms, ok := number(tags["cost_ms"]); ok {
		ev.HasCost, ev.Cost = true, time.Duration(ms*float64(time.Millisecond))
	}
	if mb, ok := number(tags["memory_mb"]); ok {
		ev.MemoryMB = mb
	}
	ev.IsRepeat = ev.IsRepeat || tags["repeat"] != "" && tags["repeat"] != "0"
}

// number reads a figure above zero that a sane client may tell.
func number(v string) (float64, bool) {
	n, err := strconv.ParseFloat(v, 64)
	return n, err == nil && n > 0 && n < 1e9
}
