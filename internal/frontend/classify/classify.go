// Package classify determines the properties of a statement that the decision module needs: its class,
// ordering key, table group, tenant, cost estimate and deadline. The class comes from a sqlcommenter comment
// in the statement, else from the match rules of the settings in their order, else it is the default class.
// The package does no I/O.
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

// Client describes the client that sends a statement.
type Client struct {
	User, Database, Application string
	Timeout                     time.Duration // 0 if the client sets none
	IsRetry                     bool          // its protocol marks the statement as sent before
}

// Classifier classifies statements according to the settings. It does not change and is safe for concurrent
// use.
type Classifier struct {
	matchRules    []config.MatchRule
	defaultClass  string
	writeClass    string // replaces an idempotent class for statements that write; "" if there is none
	describeClass string // class of requests for a description
	classes       map[string]cresspass.Class
}

// New returns a classifier for settings that have been validated.
func New(cfg *config.Config) *Classifier {
	c := &Classifier{
		matchRules:    cfg.Matches,
		defaultClass:  cfg.DefaultClass,
		writeClass:    cfg.WriteClass,
		describeClass: cfg.DescribeClass,
		classes:       map[string]cresspass.Class{},
	}
	for _, class := range cfg.Module.Classes {
		c.classes[class.Name] = class
	}
	return c
}

// SQLSTATE codes of statement errors, from "PostgreSQL Error Codes".
const (
	codeFeatureNotSupported   = "0A000"
	codeInvalidParameterValue = "22023"
)

// StatementError is the reason for which a statement is rejected before it is sent to an engine.
type StatementError struct {
	Code    string // SQLSTATE
	Message string // for the client
}

func (e *StatementError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// The tags that are read from a statement's comment.
const (
	tagClass    = "class"
	tagTenant   = "tenant"
	tagKey      = "key"
	tagTables   = "tables"
	tagCostMS   = "cost_ms"
	tagMemoryMB = "memory_mb"
	tagRepeat   = "repeat"
	tagWaitMS   = "wait_ms"
)

// Classify returns the event QueryArrived for a statement, or the reason why the statement is rejected.
func (c *Classifier) Classify(id cresspass.QueryID, client Client,
	query *enginequery.Query) (cresspass.Event, *StatementError) {
	event := cresspass.Event{Type: cresspass.QueryArrived, Query: id, IsRetry: client.IsRetry}
	var tags map[string]string
	if strings.Contains(query.Text, "='") { // saves the scan of most texts, which have no tags
		tags = sqlscan.Tags(query.Text)
	}
	c.applyMatchRules(&event, client, query.Text)
	if err := c.chooseClass(&event, query, tags); err != nil {
		return event, err
	}
	class := c.classes[event.Class]
	event.IsWrite = event.IsWrite || class.Effect != cresspass.Idempotent
	event.RemainingDeadline = remainingDeadline(class.Deadline, client.Timeout, tags)
	if event.AddsNoRetryBudget {
		// The cost, memory, key and tables in a comment apply to the execution of the statement. If they were
		// applied to its description, that could be rejected for its cost or queued behind the key.
		tags = map[string]string{tagTenant: tags[tagTenant], tagRepeat: tags[tagRepeat]}
	}
	applyTags(&event, tags)
	return event, nil
}

// Idempotent reports whether a statement may be run more than once: it writes nothing, and its class is
// idempotent.
func (c *Classifier) Idempotent(client Client, query *enginequery.Query) bool {
	event, err := c.Classify(0, client, query)
	return err == nil && !event.IsWrite
}

// applyMatchRules sets the class and the tenant, each from the first matching rule that names one.
func (c *Classifier) applyMatchRules(event *cresspass.Event, client Client, text string) {
	for i := range c.matchRules {
		rule := &c.matchRules[i]
		if !matches(rule, client, text) {
			continue
		}
		if event.Class == "" {
			event.Class = rule.Class
		}
		if event.Tenant == "" {
			event.Tenant = rule.Tenant
		}
	}
}

func matches(rule *config.MatchRule, client Client, text string) bool {
	return (rule.User == "" || rule.User == client.User) &&
		(rule.Database == "" || rule.Database == client.Database) &&
		(rule.Application == "" || rule.Application == client.Application) &&
		(rule.Pattern == nil || rule.Pattern.MatchString(text))
}

// chooseClass sets the class of an event: the class in the tags, else the class from the match rules, else
// the default class. Descriptions get describeClass instead, and statements that write get writeClass if
// their class is idempotent.
func (c *Classifier) chooseClass(event *cresspass.Event, query *enginequery.Query,
	tags map[string]string) *StatementError {
	if name, ok := tags[tagClass]; ok {
		if _, known := c.classes[name]; !known {
			return &StatementError{codeInvalidParameterValue, "the comment names class " +
				strconv.Quote(name) + ", which the settings do not know"}
		}
		event.Class = name
	}
	if event.Class == "" {
		event.Class = c.defaultClass
	}
	if query.Kind == enginequery.DescribeStatement || query.Kind == enginequery.DescribePortal {
		// A client asks for a description in preparation of its request. If the description counted as a
		// request, more retries would be sent than the requests allow (rule 7).
		event.Class, event.AddsNoRetryBudget = c.describeClass, true
		return nil
	}
	for i := range query.Parsed {
		event.IsWrite = event.IsWrite || query.Parsed[i].Writes
	}
	if !event.IsWrite || c.classes[event.Class].Effect != cresspass.Idempotent {
		return nil
	}
	// In an idempotent class, a statement that writes could run twice if the outcome of its first attempt is
	// not known.
	if c.writeClass == "" {
		return &StatementError{codeFeatureNotSupported, "the statement may write, its class " +
			strconv.Quote(event.Class) + " is one that is repeated, and the settings name no write_class"}
	}
	event.Class = c.writeClass
	return nil
}

// remainingDeadline returns the shortest of the class's deadline, the client's timeout and the deadline in
// the tags.
func remainingDeadline(deadline, timeout time.Duration, tags map[string]string) time.Duration {
	if timeout > 0 {
		deadline = min(deadline, timeout)
	}
	if wait, ok := milliseconds(tags[tagWaitMS]); ok {
		deadline = min(deadline, wait)
	}
	return deadline
}

// applyTags sets an event's fields from the tags other than the class and the deadline. It ignores numeric
// tags with invalid values.
func applyTags(event *cresspass.Event, tags map[string]string) {
	if tenant := tags[tagTenant]; tenant != "" && event.Tenant == "" {
		event.Tenant = tenant
	}
	event.Key = tags[tagKey]
	if tables, ok := tags[tagTables]; ok {
		event.TableGroup = tableGroup(tables)
	}
	if cost, ok := milliseconds(tags[tagCostMS]); ok {
		event.HasCostEstimate, event.CostEstimate = true, cost
	}
	if megabytes, ok := parsePositive(tags[tagMemoryMB]); ok {
		event.MemoryEstimateMB = megabytes
	}
	repeat := tags[tagRepeat]
	event.IsRetry = event.IsRetry || repeat != "" && repeat != "0"
}

// tableGroup returns the number of a group of tables: the value itself if it is a number, else a hash of it.
func tableGroup(tables string) float64 {
	if n, err := strconv.ParseFloat(tables, 64); err == nil && !math.IsNaN(n) && !math.IsInf(n, 0) {
		return n
	}
	hash := fnv.New32a()
	hash.Write([]byte(tables))
	return float64(hash.Sum32())
}

func milliseconds(text string) (time.Duration, bool) {
	n, ok := parsePositive(text)
	return time.Duration(n * float64(time.Millisecond)), ok
}

// maxTagValue is the upper bound, exclusive, of numbers in tags.
const maxTagValue = 1e9

// parsePositive parses a number above zero and below maxTagValue.
func parsePositive(text string) (float64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil && n > 0 && n < maxTagValue
}
