// Package wire reads and writes the simulator's text protocol: it parses and formats, nothing else.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"cresspass"
)

// listCount is how many numbered engine lists the protocol knows.
const listCount = 16

// MessageType tells what a Message carries.
type MessageType int

// The types of message.
const (
	StartInstance MessageType = iota // a new instance, with Config
	StopInstance                     // the instance was killed
	EventMessage                     // Event
)

// Message is one line addressed to an instance.
type Message struct {
	Type     MessageType
	Instance int
	Config   cresspass.Config
	Event    cresspass.Event
}

// Batch is what the wire delivers at one time of its clock.
type Batch struct {
	Now      time.Duration
	Messages []Message
}

// Reader reads batches.
type Reader struct {
	in     *bufio.Reader
	line   int
	lists  [listCount][]cresspass.EngineInfo
	batch  Batch
	fields []field
}

type field struct{ name, value string }

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20)}
}

// Next returns the next batch, valid until the following call, or io.EOF at the end of the input.
// Any other error tells the line and what was wrong with it.
func (r *Reader) Next() (*Batch, error) {
	name, p, err := r.read()
	if err != nil {
		return nil, err
	}
	if name != "clock" {
		return nil, r.errorf("%q where a batch should begin, expected clock", name)
	}
	r.batch.Now = p.duration("now-us", true)
	r.batch.Messages = r.batch.Messages[:0]
	if p.err != nil {
		return nil, p.err
	}
	for {
		name, p, err := r.read()
		if errors.Is(err, io.EOF) {
			return nil, r.errorf("the input ended inside a batch, expected eob")
		}
		if err != nil {
			return nil, err
		}
		if name == "eob" {
			return &r.batch, nil
		}
		if err := r.message(name, p); err != nil {
			return nil, err
		}
	}
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

// read returns the name and the fields of the next line.
func (r *Reader) read() (string, *parser, error) {
	text, err := r.next()
	if err != nil {
		return "", nil, err
	}
	return r.split(text)
}

// next returns the next line.
func (r *Reader) next() (string, error) {
	text, err := r.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	r.line++
	if err != nil && err != io.EOF {
		return "", err
	}
	return strings.TrimRight(text, "\r\n"), nil
}

// split returns the name and the fields of a line.
func (r *Reader) split(text string) (string, *parser, error) {
	name, rest, _ := strings.Cut(text, " ")
	if name == "" || strings.Contains(name, "=") {
		return "", nil, r.errorf("%q where a name should stand, expected a message's name", name)
	}
	r.fields = r.fields[:0]
	for rest != "" {
		var part string
		part, rest, _ = strings.Cut(rest, " ")
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return "", nil, r.errorf("%q is no field, expected name=value", part)
		}
		r.fields = append(r.fields, field{key, value})
	}
	return name, &parser{reader: r, fields: r.fields}, nil
}

// message adds the message of one line to the batch.
func (r *Reader) message(name string, p *parser) error {
	m := Message{Type: EventMessage}
	e := &m.Event
	switch name {
	case "roster":
		return r.roster(p)
	case "provision":
		m.Type = StartInstance
		m.Config = p.config()
	case "retire":
		m.Type = StopInstance
	case "sync":
		e.Type = cresspass.EngineListReceived
		e.ListType = parseWord(
			p,
			"scope",
			map[string]cresspass.EngineListType{"delta": cresspass.ListIncremental,
				"full": cresspass.ListComplete, "cached": cresspass.ListCached, "failed": cresspass.ListFailed},
		)
		if e.ListType != cresspass.ListFailed {
			if n := p.unsigned("sheet", true); n >= listCount {
				p.invalid("sheet", "a list number from 0 to 15")
			} else {
				e.Engines = r.lists[n]
			}
		}
	case "ask":
		e.Type = cresspass.QueryArrived
		e.Query = cresspass.QueryID(p.unsigned("op-id", true))
		e.TableGroup = p.number("tables")
		opts := p.unsigned("opts", false)
		e.HasCostEstimate, e.IsRetry, e.IsWrite = opts&1 != 0, opts&2 != 0, opts&4 != 0
		e.RemainingDeadline = p.duration("budget-us", true)
		e.Class = p.text("category")
		e.Key = p.text("object")
		e.MemoryEstimateMB = p.number("ram-mb")
		if e.Tenant = p.text("project"); e.Tenant == "0" {
			e.Tenant = ""
		}
		e.CostEstimate = p.duration("cost-us", false)
	case "alarm":
		e.Type = cresspass.TimerFired
		e.Label = p.unsigned("label", true)
	case "message":
		e.Type = cresspass.PeerMessageReceived
		e.Peer = int(p.unsigned("sender", true))
		e.Data = p.bytes("msg")
	case "check_result":
		e.Type = cresspass.HealthCheckDone
		e.Engine = cresspass.EngineID(p.text("node"))
		e.Outcome = cresspass.Outcome(p.unsigned("disposition", true))
		e.Elapsed = p.duration("duration-us", false)
		e.LoadReport, e.HasLoadReport = p.row("health-info")
	case "closed_attempt":
		e.Type = cresspass.AttemptDone
		p.attempt(e)
		e.Outcome = cresspass.Outcome(p.unsigned("disposition", true))
		e.Elapsed = p.duration("duration-us", false)
		e.QueryFinished = p.flag("finished")
		note := p.unsigned("note", false)
		e.ActualCost = time.Duration(note>>12) * time.Millisecond
		e.ActualMemoryMB = float64(note&4095) * 4
		e.LoadReport, e.HasLoadReport = p.row("health-info")
	case "notice":
		e.Type = cresspass.ProgressReported
		p.attempt(e)
		e.Note = cresspass.NoteType(p.unsigned("topic", true))
		e.Value = p.number("x")
	case "flowing":
		e.Type = cresspass.ResponseStarted
		p.attempt(e)
		e.Elapsed = p.duration("duration-us", false)
	case "gone":
		e.Type = cresspass.QueryAbandoned
		e.Query = cresspass.QueryID(p.unsigned("op-id", true))
	default:
		return nil // a later protocol's event
	}
	m.Instance = int(p.unsigned("dispatcher", true))
	if p.err != nil {
		return p.err
	}
	r.batch.Messages = append(r.batch.Messages, m)
	return nil
}

// roster reads a numbered engine list and its entries.
func (r *Reader) roster(p *parser) error {
	sheet, count := p.unsigned("sheet", true), p.unsigned("elements", true)
	if sheet >= listCount {
		p.invalid("sheet", "a list number from 0 to 15")
	}
	if p.err != nil {
		return p.err
	}
	var list []cresspass.EngineInfo
	for range count {
		name, p, err := r.read()
		if errors.Is(err, io.EOF) {
			return r.errorf("the input ended inside a roster of %d, expected entry", count)
		}
		if err != nil {
			return err
		}
		if name != "entry" {
			return r.errorf("%q inside a roster of %d, expected entry", name, count)
		}
		list = append(list, cresspass.EngineInfo{
			ID: cresspass.EngineID(p.required("node")),
			State: parseWord(p, "state", map[string]cresspass.EngineState{"on": cresspass.EngineActive,
				"fading": cresspass.EngineDraining, "off": cresspass.EngineRemoved}),
			Kind: p.text("flavor"), Zone: p.text("area"), Cell: int(p.unsigned("block", false)),
			Size: p.number("size"), StartedAt: p.duration("start-time-us", false),
		})
		if p.err != nil {
			return p.err
		}
	}
	r.lists[sheet] = list
	return nil
}

// parser takes typed values from a line's fields and keeps the first error.
type parser struct {
	reader *Reader
	fields []field
	err    error
}

func (p *parser) find(name string) (string, bool) {
	for i := range p.fields {
		if p.fields[i].name == name {
			return p.fields[i].value, true
		}
	}
	return "", false
}

func (p *parser) text(name string) string {
	v, _ := p.find(name)
	return v
}

func (p *parser) required(name string) string {
	v, ok := p.find(name)
	if !ok || v == "" {
		p.invalid(name, "a value")
	}
	return v
}

func (p *parser) invalid(name, want string) {
	if p.err == nil {
		v, ok := p.find(name)
		if !ok {
			v = "nothing"
		}
		p.err = p.reader.errorf("%s is %s, expected %s", name, v, want)
	}
}

func (p *parser) unsigned(name string, required bool) uint64 {
	v, ok := p.find(name)
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseUint(v, 10, 63)
	if err != nil {
		p.invalid(name, "a whole number")
	}
	return n
}

func (p *parser) duration(name string, required bool) time.Duration {
	v, ok := p.find(name)
	if !ok && !required {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n > math.MaxInt64/1000 || n < math.MinInt64/1000 {
		p.invalid(name, "microseconds in whole numbers")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func (p *parser) number(name string) float64 {
	v, ok := p.find(name)
	if !ok {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		p.invalid(name, "a number")
	}
	return n
}

func (p *parser) flag(name string) bool {
	switch v, _ := p.find(name); v {
	case "1", "true":
		return true
	case "", "0", "false":
		return false
	}
	p.invalid(name, "1 or 0")
	return false
}

func (p *parser) bytes(name string) []byte {
	v := p.text(name)
	if v == "-" || v == "" {
		return nil
	}
	b, err := hex.DecodeString(v)
	if err != nil {
		p.invalid(name, "hex digits")
	}
	return b
}

func (p *parser) row(name string) ([]float64, bool) {
	v, ok := p.find(name)
	if !ok || v == "" {
		return nil, false
	}
	var out []float64
	for part := range strings.SplitSeq(v, ",") {
		n, err := strconv.ParseFloat(part, 64)
		if err != nil {
			p.invalid(name, "numbers set apart by commas")
		}
		out = append(out, n)
	}
	return out, true
}

func (p *parser) attempt(e *cresspass.Event) {
	e.Query = cresspass.QueryID(p.unsigned("op-id", true))
	e.Attempt = int(p.unsigned("trial", false))
	e.Engine = cresspass.EngineID(p.text("node"))
}

// parseWord reads a field that holds one of a few words.
func parseWord[T any](p *parser, name string, words map[string]T) T {
	v, ok := words[p.text(name)]
	if !ok {
		p.invalid(name, "one of the protocol's words")
	}
	return v
}

// WriteAction writes one action of an instance.
func WriteAction(w *bufio.Writer, instance int, a *cresspass.Action) {
	switch a.Type {
	case cresspass.Send:
		fmt.Fprintf(w, "dispatch dispatcher=%d op-id=%d node=%s", instance, a.Query, a.Engine)
		if a.Wait != 0 {
			fmt.Fprintf(w, " patience-us=%d", a.Wait.Microseconds())
		}
	case cresspass.SetTimer:
		fmt.Fprintf(w, "defer dispatcher=%d delay-us=%d label=%d", instance, a.Wait.Microseconds(), a.Label)
	case cresspass.FetchEngineList:
		fmt.Fprintf(w, "list_all dispatcher=%d", instance)
	case cresspass.CloseIdleConnections:
		fmt.Fprintf(w, "let_go dispatcher=%d node=%s", instance, a.Engine)
	case cresspass.SendToPeer:
		fmt.Fprintf(w, "share dispatcher=%d recipient=%d msg=%s", instance, a.Peer, hexDigits(a.Data))
	case cresspass.Reject:
		fmt.Fprintf(w, "deny dispatcher=%d op-id=%d", instance, a.Query)
		if a.Wait > 0 {
			fmt.Fprintf(w, " not-before-for-us=%d", a.Wait.Microseconds())
		}
	case cresspass.Fail:
		fmt.Fprintf(w, "finish_error dispatcher=%d op-id=%d", instance, a.Query)
	case cresspass.CheckHealth:
		fmt.Fprintf(w, "touch dispatcher=%d node=%s", instance, a.Engine)
	case cresspass.Cancel:
		fmt.Fprintf(w, "retract dispatcher=%d op-id=%d trial=%d", instance, a.Query, a.Attempt)
	case cresspass.SetResources:
		fmt.Fprintf(w, "allot dispatcher=%d op-id=%d rank=%d workspace-mb=%s", instance, a.Query,
			a.Priority, strconv.FormatFloat(a.MemoryGrantMB, 'f', -1, 64))
	case cresspass.Log:
		fmt.Fprintf(w, "emit dispatcher=%d words=%s", instance, oneLine(a.Text))
	case cresspass.SubscribeEngineList:
		want := 0
		if a.Enabled {
			want = 1
		}
		fmt.Fprintf(w, "follow dispatcher=%d want=%d", instance, want)
	default:
		return
	}
	w.WriteByte('\n')
}

// WriteError declares that an instance's decision code has failed.
func WriteError(w *bufio.Writer, instance int, text string) {
	fmt.Fprintf(w, "give_in dispatcher=%d words=%s\n", instance, oneLine(text))
}

// hexDigits are bytes as the wire has them.
func hexDigits(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	return hex.EncodeToString(data)
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
