// Package classify tells what a statement is to the decision module: its class, ordering key, table group,
// tenant, cost estimate and deadline. A sqlcommenter comment of the statement counts first, then the match
// rules of the settings in their order, then the default class. It does no I/O.
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

// Client is what is known of the client that sends a statement.
type Client struct {
	User, Database, Application string
	Timeout                     time.Duration // 0: none
	IsRetry                     bool          // its protocol says that it sent the statement before
}

// Classifier holds the settings. It may be used by many goroutines.
type Classifier struct {
	matchRules    []config.MatchRule
	defaultClass  string
	writeClass    string // of statements that write, in place of an idempotent class; "": none
	describeClass string // of descriptions
	classes       map[string]cresspass.Class
}

// New returns a classifier for checked settings.
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

// The codes of statement errors, as in "PostgreSQL Error Codes".
const (
	codeFeatureNotSupported   = "0A000"
	codeInvalidParameterValue = "22023"
)

// StatementError tells why a statement is rejected before any engine sees it.
type StatementError struct {
	Code    string // SQLSTATE
	Message string // for the client
}

func (e *StatementError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// The tags of a comment.
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

// Classify returns the event by which a statement arrives at the decision module, or why there is none.
func (c *Classifier) Classify(id cresspass.QueryID, client Client,
	query *enginequery.Query) (cresspass.Event, *StatementError) {
	event := cresspass.Event{Type: cresspass.QueryArrived, Query: id, IsRetry: client.IsRetry}
	var tags map[string]string
	if strings.Contains(query.Text, "='") { // most texts have no tags, and are not scanned for them
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
		// What a comment says of cost, memory, key and tables concerns the run of the statement. A
		// description that was taken to cost as much would be rejected, or queued behind its key.
		tags = map[string]string{tagTenant: tags[tagTenant], tagRepeat: tags[tagRepeat]}
	}
	applyTags(&event, tags)
	return event, nil
}

// Idempotent reports whether a statement may be run any number of times: it writes nothing, and its class is
// idempotent.
func (c *Classifier) Idempotent(client Client, query *enginequery.Query) bool {
	event, err := c.Classify(0, client, query)
	return err == nil && !event.IsWrite
}

// applyMatchRules takes the class and the tenant each from the first matching rule that names one.
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

// chooseClass sets an event's class, by its tags, by the match rules that were applied, by default, and by
// what the statement does.
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
		// A client asks for a description on the way to its request. If it counted as a request of its own,
		// more retries would be sent than the requests allow (rule 7).
		event.Class, event.AddsNoRetryBudget = c.describeClass, true
		return nil
	}
	for i := range query.Parsed {
		event.IsWrite = event.IsWrite || query.Parsed[i].Writes
	}
	if !event.IsWrite || c.classes[event.Class].Effect != cresspass.Idempotent {
		return nil
	}
	// In an idempotent class, a statement that writes would be run twice when the outcome of its first
	// attempt is not known.
	if c.writeClass == "" {
		return &StatementError{codeFeatureNotSupported, "the statement may write, its class " +
			strconv.Quote(event.Class) + " is one that is repeated, and the settings name no write_class"}
	}
	event.Class = c.writeClass
	return nil
}

// remainingDeadline returns the least of a class's deadline, the client's timeout and the one that a comment
// gives.
func remainingDeadline(deadline, timeout time.Duration, tags map[string]string) time.Duration {
	if timeout > 0 {
		deadline = min(deadline, timeout)
	}
	if wait, ok := milliseconds(tags[tagWaitMS]); ok {
		deadline = min(deadline, wait)
	}
	return deadline
}

// applyTags takes in what a comment says besides the class. Values that are no numbers count as none.
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

// tableGroup returns the number that stands for a group of tables: itself where it is one, else a hash.
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

// maxTagValue is above any number that a tag can mean.
const maxTagValue = 1e9

// parsePositive reads a number above zero and below maxTagValue.
func parsePositive(text string) (float64, bool) {
	n, err := strconv.ParseFloat(text, 64)
	return n, err == nil && n > 0 && n < maxTagValue
}
