package rehearsal

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// tag is a name with a value that describes a statement, in the statement's comment or parameter.
type tag struct{ name, value string }

// runTransaction runs a session: one transaction of several statements, the last of which commits. Each
// statement has an id of its own and the id of the session, and half of the arrival's work.
func runTransaction(ctx context.Context, c client, a arrival, id string) error {
	for n, text := range []string{"begin", "insert into t select 1", "select n, value from t", "commit"} {
		tags := fmt.Sprintf(" /*id='%s-%d',session='%s',class='%s',work_ms='%.3f'*/", id, n, id,
			a.traffic.Class, a.work*1000/2)
		if err := c.do(ctx, true, text+tags, ""); err != nil {
			if n > 0 && !c.broken() {
				_ = c.do(ctx, true, "rollback", "") // the error before it is the result
			}
			return err
		}
	}
	return nil
}

// statementTags returns the tags of a statement. left is the time until its deadline.
func statementTags(a arrival, id string, attempt int, left time.Duration) []tag {
	out := []tag{{"id", id}, {"class", a.traffic.Class}, {"work_ms", fmt.Sprintf("%.3f", a.work*1000)},
		{"threads", fmt.Sprint(a.traffic.Threads)}, {"rows", fmt.Sprint(a.traffic.Rows)}}
	if a.traffic.CostFactor > 0 {
		out = append(out, tag{"cost_ms", fmt.Sprintf("%.3f", a.work*a.traffic.CostFactor*1000)})
	}
	if a.key != "" {
		out = append(out, tag{"key", a.key})
	}
	if a.tables != "" {
		out = append(out, tag{"tables", a.tables})
	}
	if a.traffic.Loads {
		out = append(out, tag{"loads", "1"})
	}
	if attempt > 0 {
		out = append(out, tag{"repeat", fmt.Sprint(attempt)}, tag{"wait_ms", fmt.Sprint(left.Milliseconds())})
	}
	return out
}

// statementText returns the SQL text. A statement of the simple protocol has its tags in a comment. A
// prepared statement has them in its parameter, so that its text can be the same for all queries of a class;
// only the tags that the dispatcher must read are in a comment.
func statementText(a arrival, id string, attempt int, left time.Duration) string {
	head := "select n, value from t where id = "
	if a.traffic.Loads || a.traffic.Writes {
		head = "insert into t select "
	}
	if a.simple {
		var tags []string
		for _, t := range statementTags(a, id, attempt, left) {
			tags = append(tags, t.name+"='"+t.value+"'")
		}
		return head + "1 /*" + strings.Join(tags, ",") + "*/"
	}
	text := head + "$1::text /*class='" + a.traffic.Class + "'"
	if a.key != "" {
		text += ",key='" + a.key + "'"
	}
	if attempt > 0 {
		text += fmt.Sprintf(",repeat='1',wait_ms='%d'", left.Milliseconds())
	}
	return text + "*/"
}

// parameter returns the parameter of a prepared statement, its id followed by its tags, or "" for the simple
// protocol.
func parameter(a arrival, id string, attempt int, left time.Duration) string {
	if a.simple {
		return ""
	}
	text := id
	for _, t := range statementTags(a, id, attempt, left)[1:] {
		text += ";" + t.name + "=" + t.value
	}
	return text
}
