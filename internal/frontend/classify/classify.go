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
	IsRetry                     bool          // its protocol says that it was sent before
}

// Classifier holds the settings. It may be used by many goroutines.
type Classifier struct {
	matchRules                []config.MatchRule
	defaultClass              string
	writeClass, describeClass string
	classes                   map[string]cresspass.Class
}

// New returns a classifier for checked settings.
func New(cfg *config.Config) *Classifier {
	c := &Classifier{matchRules: cfg.Matches, defaultClass: cfg.DefaultClass, writeClass: cfg.WriteClass,
		describeClass: cfg.DescribeClass, classes: map[string]cresspass.Class{}}
	for _, k := range cfg.Module.Classes {
		c.classes[k.Name] = k
	}
	return c
}

// StatementError is why a statement is turned away before any engine sees it.
type StatementError struct{ Code, Message string }

// Classify returns the event that tells the module of a statement, or why there is none.
func (c *Classifier) Classify(
	id cresspass.QueryID,
	client Client,
	query *enginequery.Query,
) (cresspass.Event, *StatementError) {
	event := cresspass.Event{Type: cresspass.QueryArrived, Query: id, IsRetry: client.IsRetry}
	var tags map[string]string
	if strings.Contains(query.Text, "='") { // most texts have no tags, and are not scanned for them
		tags = sqlscan.Tags(query.Text)
	}
	for i := range c.matchRules {
		rule := &c.matchRules[i]
		if (rule.User == "" || rule.User == client.User) &&
			(rule.Database == "" || rule.Database == client.Database) &&
			(rule.Application == "" || rule.Application == client.Application) &&
			(rule.Pattern == nil || rule.Pattern.MatchString(query.Text)) {
			if event.Class == "" {
				event.Class = rule.Class
			}
			if event.Tenant == "" {
				event.Tenant = rule.Tenant
			}
		}
	}
	if v, ok := tags["class"]; ok {
		if _, known := c.classes[v]; !known {
			return event, &StatementError{"22023", "the comment names class " + strconv.Quote(v) +
				", which the settings do not know"}
		}
		event.Class = v
	}
	if event.Class == "" {
		event.Class = c.defaultClass
	}
	if query.Kind == enginequery.DescribeStatement || query.Kind == enginequery.DescribePortal {
		// Danger: a description is asked for on the way to a request. Counted as one, it would let more
		// further attempts go than the requests allow (rule 7).
		event.Class, event.AddsNoRetryBudget = c.describeClass, true
	} else {
		for i := range query.Parsed {
			event.IsWrite = event.IsWrite || query.Parsed[i].Writes
		}
		// Danger: a statement that writes, in a class that is safe to repeat, would be run twice after a
		// doubt.
		if event.IsWrite && c.classes[event.Class].Effect == cresspass.Idempotent {
			if c.writeClass == "" {
				return event, &StatementError{"0A000", "the statement may write, its class " + strconv.Quote(event.Class) +
					" is one that is repeated, and the settings name no write_class"}
			}
			event.Class = c.writeClass
		}
	}
	class := c.classes[event.Class]
	event.IsWrite = event.IsWrite || class.Effect != cresspass.Idempotent
	event.RemainingDeadline = class.Deadline
	if client.Timeout > 0 {
		event.RemainingDeadline = min(event.RemainingDeadline, client.Timeout)
	}
	if ms, ok := parsePositive(tags["wait_ms"]); ok {
		event.RemainingDeadline = min(event.RemainingDeadline, time.Duration(ms*float64(time.Millisecond)))
	}
	if event.AddsNoRetryBudget {
		// Danger: what a comment tells of cost, memory, key and tables is the run's. A description that was
		// taken to cost as much would be refused, or wait for a key's turn.
		tags = map[string]string{"tenant": tags["tenant"], "repeat": tags["repeat"]}
	}
	c.applyTags(&event, tags)
	return event, nil
}

// Idempotent reports whether a statement may be run any number of times: it writes nothing and its class is
// one that is repeated.
func (c *Classifier) Idempotent(client Client, query *enginequery.Query) bool {
	event, fault := c.Classify(0, client, query)
	return fault == nil && !event.IsWrite
}

// applyTags takes in what a comment says besides the class. Values that are no numbers say nothing.
func (c *Classifier) applyTags(event *cresspass.Event, tags map[string]string) {
	if v := tags["tenant"]; v != "" && event.Tenant == "" {
		event.Tenant = v
	}
	event.Key = tags["key"]
	if v, ok := tags["tables"]; ok {
		if n, err := strconv.ParseFloat(v, 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
			event.TableGroup = n
		} else {
			hash := fnv.New32a()
			hash.Write([]byte(v))
			event.TableGroup = float64(hash.Sum32())
		}
	}
	if ms, ok := parsePositive(tags["cost_ms"]); ok {
		event.HasCostEstimate, event.CostEstimate = true, time.Duration(ms*float64(time.Millisecond))
	}
	if mb, ok := parsePositive(tags["memory_mb"]); ok {
		event.MemoryEstimateMB = mb
	}
	event.IsRetry = event.IsRetry || tags["repeat"] != "" && tags["repeat"] != "0"
}

// parsePositive reads a figure above zero that a sane client may tell.
func parsePositive(v string) (float64, bool) {
	n, err := strconv.ParseFloat(v, 64)
	return n, err == nil && n > 0 && n < 1e9
}
