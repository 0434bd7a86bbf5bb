package wire

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"cresspass"
)

// Bits of the field opts of a query's event.
const (
	optionHasCost = 1
	optionRetry   = 2
	optionWrite   = 4
)

// The field note of an ended attempt holds the attempt's memory, in units of noteMemoryUnit, in the lowest
// noteMemoryBits bits, and its cost in milliseconds above them.
const (
	noteMemoryBits = 12
	noteMemoryUnit = 4 // megabytes
	noteMemoryMax  = 1<<noteMemoryBits - 1
)

// eventNames are the protocol's names of events. The protocol has no names for the events of sessions, of
// membership and of a shutdown.
var eventNames = map[cresspass.EventType]string{
	cresspass.EngineListReceived:  "sync",
	cresspass.QueryArrived:        "ask",
	cresspass.TimerFired:          "alarm",
	cresspass.PeerMessageReceived: "message",
	cresspass.HealthCheckDone:     "check_result",
	cresspass.AttemptDone:         "closed_attempt",
	cresspass.ProgressReported:    "notice",
	cresspass.ResponseStarted:     "flowing",
	cresspass.QueryAbandoned:      "gone",
}

// eventParsers are the functions that read an event's fields, by the protocol's name of the event.
var eventParsers = map[string]func(*Reader, *parser, *cresspass.Event){
	"sync":           (*Reader).parseEngineList,
	"ask":            (*Reader).parseQuery,
	"alarm":          (*Reader).parseTimer,
	"message":        (*Reader).parsePeerMessage,
	"check_result":   (*Reader).parseHealthCheck,
	"closed_attempt": (*Reader).parseAttemptDone,
	"notice":         (*Reader).parseProgress,
	"flowing":        (*Reader).parseResponseStarted,
	"gone":           (*Reader).parseAbandoned,
}

func (r *Reader) parseEngineList(p *parser, e *cresspass.Event) {
	e.Type = cresspass.EngineListReceived
	e.ListType = parseWord(p, "scope", map[string]cresspass.EngineListType{
		"delta": cresspass.ListIncremental, "full": cresspass.ListComplete,
		"cached": cresspass.ListCached, "failed": cresspass.ListFailed,
	})
	if e.ListType == cresspass.ListFailed {
		return
	}
	n := p.unsigned("sheet", true)
	if n >= listCount {
		p.invalid("sheet", "a list number from 0 to 15")
		return
	}
	e.Engines = r.lists[n]
}

func (r *Reader) parseQuery(p *parser, e *cresspass.Event) {
	e.Type = cresspass.QueryArrived
	e.Query = cresspass.QueryID(p.unsigned("op-id", true))
	e.TableGroup = p.number("tables")
	options := p.unsigned("opts", false)
	e.HasCostEstimate = options&optionHasCost != 0
	e.IsRetry = options&optionRetry != 0
	e.IsWrite = options&optionWrite != 0
	e.RemainingDeadline = p.duration("budget-us", true)
	e.Class = p.text("category")
	e.Key = p.text("object")
	e.MemoryEstimateMB = p.number("ram-mb")
	if e.Tenant = p.text("project"); e.Tenant == "0" {
		e.Tenant = ""
	}
	e.CostEstimate = p.duration("cost-us", false)
}

func (r *Reader) parseTimer(p *parser, e *cresspass.Event) {
	e.Type = cresspass.TimerFired
	e.Label = p.unsigned("label", true)
}

func (r *Reader) parsePeerMessage(p *parser, e *cresspass.Event) {
	e.Type = cresspass.PeerMessageReceived
	e.Peer = int(p.unsigned("sender", true))
	e.Data = p.bytes("msg")
}

func (r *Reader) parseHealthCheck(p *parser, e *cresspass.Event) {
	e.Type = cresspass.HealthCheckDone
	e.Engine = cresspass.EngineID(p.text("node"))
	e.Outcome = cresspass.Outcome(p.unsigned("disposition", true))
	e.Elapsed = p.duration("duration-us", false)
	e.LoadReport, e.HasLoadReport = p.findNumbers("health-info")
}

func (r *Reader) parseAttemptDone(p *parser, e *cresspass.Event) {
	e.Type = cresspass.AttemptDone
	p.attemptID(e)
	e.Outcome = cresspass.Outcome(p.unsigned("disposition", true))
	e.Elapsed = p.duration("duration-us", false)
	e.QueryFinished = p.flag("finished")
	note := p.unsigned("note", false)
	e.ActualCost = time.Duration(note>>noteMemoryBits) * time.Millisecond
	e.ActualMemoryMB = float64(note&noteMemoryMax) * noteMemoryUnit
	e.LoadReport, e.HasLoadReport = p.findNumbers("health-info")
}

func (r *Reader) parseProgress(p *parser, e *cresspass.Event) {
	e.Type = cresspass.ProgressReported
	p.attemptID(e)
	e.Note = cresspass.NoteType(p.unsigned("topic", true))
	e.Value = p.number("x")
}

func (r *Reader) parseResponseStarted(p *parser, e *cresspass.Event) {
	e.Type = cresspass.ResponseStarted
	p.attemptID(e)
	e.Elapsed = p.duration("duration-us", false)
}

func (r *Reader) parseAbandoned(p *parser, e *cresspass.Event) {
	e.Type = cresspass.QueryAbandoned
	e.Query = cresspass.QueryID(p.unsigned("op-id", true))
}

// BatchWriter writes batches for one process that hosts instances. Write errors are returned by End. It is
// not safe for concurrent use.
type BatchWriter struct {
	w          *bufio.Writer
	listNumber int
}

// NewBatchWriter returns a BatchWriter to w.
func NewBatchWriter(w io.Writer) *BatchWriter {
	return &BatchWriter{w: bufio.NewWriterSize(w, 1<<16)}
}

// Begin begins a batch at a time of the simulator's clock. The time is written in microseconds.
func (b *BatchWriter) Begin(now time.Duration) {
	fmt.Fprintf(b.w, "clock now-us=%d\n", now.Microseconds())
}

// End ends the batch and flushes it.
func (b *BatchWriter) End() error {
	b.w.WriteString("eob\n")
	return b.w.Flush()
}

// Start writes that an instance starts, with its configuration.
func (b *BatchWriter) Start(instance int, c *cresspass.Config) {
	fmt.Fprintf(b.w, "provision dispatcher=%d", instance)
	for _, s := range SettingsFromConfig(c) {
		fmt.Fprintf(b.w, " %s=%s", s.Path, s.Value)
	}
	b.w.WriteByte('\n')
}

// Stop writes that an instance was killed.
func (b *BatchWriter) Stop(instance int) { fmt.Fprintf(b.w, "retire dispatcher=%d\n", instance) }

var (
	listTypeNames = map[cresspass.EngineListType]string{
		cresspass.ListIncremental: "delta",
		cresspass.ListComplete:    "full",
		cresspass.ListCached:      "cached",
		cresspass.ListFailed:      "failed",
	}
	engineStateNames = map[cresspass.EngineState]string{
		cresspass.EngineActive:   "on",
		cresspass.EngineDraining: "fading",
		cresspass.EngineRemoved:  "off",
	}
)

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func formatFloats(values []float64) string {
	var out []string
	for _, v := range values {
		out = append(out, formatFloat(v))
	}
	return strings.Join(out, ",")
}

func bit(on bool, value int) int {
	if on {
		return value
	}
	return 0
}

// Event writes one event for an instance. It returns false, and writes nothing, if the protocol has no such
// event: those of sessions, of membership and of a shutdown.
func (b *BatchWriter) Event(instance int, e *cresspass.Event) bool {
	name, known := eventNames[e.Type]
	if !known {
		return false
	}
	if e.Type == cresspass.EngineListReceived && e.ListType != cresspass.ListFailed {
		b.listNumber = (b.listNumber + 1) % listCount
		b.engineList(e.Engines)
	}
	fmt.Fprintf(b.w, "%s dispatcher=%d", name, instance)
	b.eventFields(e)
	b.w.WriteByte('\n')
	return true
}

// eventFields writes the fields of the event's type, each after a space.
func (b *BatchWriter) eventFields(e *cresspass.Event) {
	switch e.Type {
	case cresspass.EngineListReceived:
		fmt.Fprintf(b.w, " scope=%s sheet=%d", listTypeNames[e.ListType], b.listNumber)
	case cresspass.QueryArrived:
		b.queryFields(e)
	case cresspass.TimerFired:
		fmt.Fprintf(b.w, " label=%d", e.Label)
	case cresspass.PeerMessageReceived:
		fmt.Fprintf(b.w, " sender=%d msg=%s", e.Peer, hexDigits(e.Data))
	case cresspass.HealthCheckDone:
		fmt.Fprintf(b.w, " node=%s disposition=%d duration-us=%d", e.Engine, e.Outcome,
			e.Elapsed.Microseconds())
		b.loadReportField(e)
	case cresspass.AttemptDone:
		b.attemptFields(e)
		fmt.Fprintf(b.w, " disposition=%d duration-us=%d finished=%d note=%d", e.Outcome,
			e.Elapsed.Microseconds(), bit(e.QueryFinished, 1), attemptNote(e))
		b.loadReportField(e)
	case cresspass.ProgressReported:
		b.attemptFields(e)
		fmt.Fprintf(b.w, " topic=%d x=%s", e.Note, formatFloat(e.Value))
	case cresspass.ResponseStarted:
		b.attemptFields(e)
		fmt.Fprintf(b.w, " duration-us=%d", e.Elapsed.Microseconds())
	case cresspass.QueryAbandoned:
		fmt.Fprintf(b.w, " op-id=%d", e.Query)
	}
}

func (b *BatchWriter) queryFields(e *cresspass.Event) {
	options := bit(e.HasCostEstimate, optionHasCost) | bit(e.IsRetry, optionRetry) | bit(e.IsWrite,
		optionWrite)
	fmt.Fprintf(b.w, " op-id=%d tables=%s opts=%d budget-us=%d ram-mb=%s cost-us=%d", e.Query,
		formatFloat(e.TableGroup), options, e.RemainingDeadline.Microseconds(),
		formatFloat(e.MemoryEstimateMB), e.CostEstimate.Microseconds())
	b.text("category", escapeWord(e.Class))
	b.text("object", escapeWord(e.Key))
	b.text("project", escapeWord(e.Tenant))
}

// text writes a field, unless it is empty.
func (b *BatchWriter) text(name, value string) {
	if value != "" {
		fmt.Fprintf(b.w, " %s=%s", name, value)
	}
}

func (b *BatchWriter) attemptFields(e *cresspass.Event) {
	fmt.Fprintf(b.w, " op-id=%d trial=%d node=%s", e.Query, e.Attempt, e.Engine)
}

func (b *BatchWriter) loadReportField(e *cresspass.Event) {
	if e.HasLoadReport {
		b.text("health-info", formatFloats(e.LoadReport))
	}
}

// attemptNote packs the cost and the memory of an ended attempt. Memory is rounded up to whole units of
// noteMemoryUnit and limited to noteMemoryMax units.
func attemptNote(e *cresspass.Event) uint64 {
	memory := uint64(math.Ceil(max(e.ActualMemoryMB, 0) / noteMemoryUnit))
	return uint64(e.ActualCost.Milliseconds())<<noteMemoryBits | min(memory, noteMemoryMax)
}

// engineList writes an engine list under the current list number.
func (b *BatchWriter) engineList(engines []cresspass.EngineInfo) {
	fmt.Fprintf(b.w, "roster sheet=%d elements=%d\n", b.listNumber, len(engines))
	for _, e := range engines {
		fmt.Fprintf(b.w, "entry node=%s state=%s block=%d size=%s start-time-us=%d", e.ID,
			engineStateNames[e.State], e.Cell, formatFloat(e.Size), e.StartedAt.Microseconds())
		if e.Kind != "" {
			fmt.Fprintf(b.w, " flavor=%s", escapeWord(e.Kind))
		}
		if e.Zone != "" {
			fmt.Fprintf(b.w, " area=%s", escapeWord(e.Zone))
		}
		b.w.WriteByte('\n')
	}
}

// escapeWord replaces spaces and commas by underscores: on the wire, spaces separate fields and commas
// separate list items.
func escapeWord(s string) string { return strings.NewReplacer(" ", "_", ",", "_").Replace(s) }
