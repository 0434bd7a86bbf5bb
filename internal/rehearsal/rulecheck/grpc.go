package rulecheck

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// The clients' side in Flight SQL: HTTP/2 frames, gRPC's messages in them, Flight SQL's commands in those. A
// query is taken with the message that has it run (DoGet of a statement's ticket, DoPut of an update) and
// ends with its call's trailers; what a ticket or a handle stands for is what the dispatcher gave it out for.

// NewFlightRelay starts a relay before a dispatcher's address for Flight SQL.
func (rec *Recorder) NewFlightRelay(name, target string) (*Relay, error) {
	return rec.newRelay(Clients, name, target, true)
}

// statementCache are the statements behind tickets and handles, of all connections.
type statementCache struct {
	mu      sync.Mutex
	byKey   map[string]string
	changed chan struct{} // closed and made anew with each entry
}

func (t *statementCache) put(key []byte, text string) {
	t.mu.Lock()
	t.byKey[string(key)] = text
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	t.mu.Unlock()
}

// get waits for a text: the answer that told of it came before it was asked for, but its decoder may be a
// moment behind.
func (t *statementCache) get(key []byte) string {
	late := time.After(time.Second)
	for {
		t.mu.Lock()
		text, ok := t.byKey[string(key)]
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		more := t.changed
		t.mu.Unlock()
		if ok {
			return text
		}
		select {
		case <-more:
		case <-late:
			return ""
		}
	}
}

// rpc is one stream of a connection.
type rpc struct {
	method   string
	up       []byte // bytes of messages not yet whole
	down     []byte
	notified bool   // the first message of the client was read
	text     string // the statement that its answer's ticket or handle stands for
	request  *Request
	finished bool
}

// grpcConn is one connection's state while it is decoded.
type grpcConn struct {
	recorder *Recorder
	name     string

	mu      sync.Mutex
	changed *sync.Cond
	streams map[uint32]*rpc
	ended   bool // no more requests
}

func (rec *Recorder) decodeGRPC(name string, up, down *tap) {
	c := &grpcConn{recorder: rec, name: name, streams: map[uint32]*rpc{}}
	c.changed = sync.NewCond(&c.mu)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := c.readRequests(up); err != nil && !isEndOfStream(err) {
			rec.recordUnreadable(Clients, "gRPC requests: "+err.Error(), name)
		}
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
		c.changed.Broadcast()
		io.Copy(io.Discard, up)
	}()
	if err := c.readAnswers(down); err != nil && !isEndOfStream(err) {
		rec.recordUnreadable(Clients, "gRPC answers: "+err.Error(), name)
	}
	io.Copy(io.Discard, down)
	<-done
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, r := range c.streams {
		if a := r.request; a != nil && a.Finals == 0 && a.Gone.IsZero() {
			if a.Gone = up.ended; down.ended.Before(up.ended) {
				a.Gone, a.ServerGone = down.ended, true
			}
		}
	}
}

// isEndOfStream reports whether a direction ended, wherever that was.
func isEndOfStream(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

func newFramer(r io.Reader) *http2.Framer {
	f := http2.NewFramer(io.Discard, r)
	f.SetMaxReadFrameSize(1<<24 - 1)
	f.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	return f
}

// readRequests reads the client's frames.
func (c *grpcConn) readRequests(up *tap) error {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(up, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return errors.New("no preface")
	}
	f := newFramer(up)
	for {
		fr, err := f.ReadFrame()
		if err != nil {
			return err
		}
		c.mu.Lock()
		r := c.streams[fr.Header().StreamID]
		switch fr := fr.(type) {
		case *http2.MetaHeadersFrame:
			c.streams[fr.StreamID] = &rpc{method: fr.PseudoValue("path")[strings.LastIndexByte(
				fr.PseudoValue("path"), '/')+1:]}
		case *http2.DataFrame:
			if r != nil && !r.notified {
				r.up = append(r.up, fr.Data()...)
				if m, _, ok := splitMessage(r.up); ok {
					c.mu.Unlock()
					c.handleRequest(r, m, up.at)
					c.mu.Lock()
					r.notified, r.up = true, nil
				}
			}
		case *http2.RSTStreamFrame:
			if r != nil && r.request != nil {
				c.recorder.mu.Lock()
				if r.request.Finals == 0 && r.request.Gone.IsZero() {
					r.request.Gone = up.at
				}
				c.recorder.mu.Unlock()
				r.finished = true
			}
		}
		c.mu.Unlock()
		c.changed.Broadcast()
	}
}

// splitMessage takes the first of gRPC's messages ("gRPC over HTTP2", Length-Prefixed-Message).
func splitMessage(b []byte) (m, rest []byte, ok bool) {
	if len(b) < 5 {
		return nil, b, false
	}
	n := int(binary.BigEndian.Uint32(b[1:]))
	if len(b) < 5+n {
		return nil, b, false
	}
	return b[5 : 5+n], b[5+n:], true
}

// decodeCommand reads a command of Flight SQL's; nil: it is none.
func decodeCommand(b []byte) proto.Message {
	var any anypb.Any
	if proto.Unmarshal(b, &any) != nil {
		return nil
	}
	m, err := any.UnmarshalNew()
	if err != nil {
		return nil
	}
	return m
}

// handleRequest takes a call's first message.
func (c *grpcConn) handleRequest(r *rpc, b []byte, at time.Time) {
	t := &c.recorder.texts
	switch r.method {
	case "GetFlightInfo":
		var d flight.FlightDescriptor
		if proto.Unmarshal(b, &d) == nil {
			switch m := decodeCommand(d.Cmd).(type) {
			case *pb.CommandStatementQuery:
				r.text = m.Query
			case *pb.CommandPreparedStatementQuery:
				r.text = t.get(m.PreparedStatementHandle)
			}
		}
	case "DoAction":
		var a flight.Action
		if proto.Unmarshal(b, &a) == nil {
			if m, ok := decodeCommand(a.Body).(*pb.ActionCreatePreparedStatementRequest); ok {
				r.text = m.Query
			}
		}
	case "DoGet":
		var k flight.Ticket
		if proto.Unmarshal(b, &k) == nil {
			c.recordRequest(r, t.get(k.Ticket), at)
		}
	case "DoPut":
		var d flight.FlightData
		if proto.Unmarshal(b, &d) == nil {
			switch m := decodeCommand(d.GetFlightDescriptor().GetCmd()).(type) {
			case *pb.CommandStatementUpdate:
				c.recordRequest(r, m.Query, at)
			case *pb.CommandPreparedStatementUpdate:
				c.recordRequest(r, t.get(m.PreparedStatementHandle), at)
			}
		}
	}
}

// recordRequest enters a query.
func (c *grpcConn) recordRequest(r *rpc, text string, at time.Time) {
	t := statementTags(text, "")
	if t["id"] == "" || t["class"] == "" {
		return
	}
	r.request = &Request{ID: t["id"], Class: t["class"], Key: t["key"], Dispatcher: c.name, At: at, Tags: t}
	c.recorder.mu.Lock()
	c.recorder.log.Requests = append(c.recorder.log.Requests, r.request)
	c.recorder.byID[r.request.ID] = r.request
	c.recorder.mu.Unlock()
}

// readAnswers reads the dispatcher's frames. A call's answer is taken once its request has been.
func (c *grpcConn) readAnswers(down *tap) error {
	f := newFramer(down)
	for {
		fr, err := f.ReadFrame()
		if err != nil {
			return err
		}
		c.mu.Lock()
		r := c.stream(fr.Header().StreamID)
		switch fr := fr.(type) {
		case *http2.MetaHeadersFrame:
			if r != nil && fr.StreamEnded() {
				c.recordFinal(r, sqlStateOf(fr), down.at)
			}
		case *http2.DataFrame:
			if r != nil {
				c.handleData(r, fr.Data())
			}
		case *http2.RSTStreamFrame:
			if r != nil && !r.finished {
				c.recordFinal(r, "reset", down.at)
			}
		}
		c.mu.Unlock()
	}
}

// stream waits until a call's request was read: its own decoder may be a moment behind. The caller holds the
// lock.
func (c *grpcConn) stream(id uint32) *rpc {
	if id == 0 {
		return nil
	}
	late := false
	limit := time.AfterFunc(time.Second, func() {
		c.mu.Lock()
		late = true
		c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer limit.Stop()
	for {
		// a handshake by header has no message to wait for
		if r := c.streams[id]; r != nil && (r.notified || r.method == "Handshake") || late || c.ended {
			return r
		}
		c.changed.Wait()
	}
}

// handleData takes bytes of an answer.
func (c *grpcConn) handleData(r *rpc, b []byte) {
	rec := c.recorder
	if a := r.request; a != nil {
		rec.mu.Lock()
		if a.Rows++; a.Finals > 0 {
			a.After++
		}
		rec.mu.Unlock()
		return
	}
	if r.text == "" {
		return
	}
	r.down = append(r.down, b...)
	m, _, ok := splitMessage(r.down)
	if !ok {
		return
	}
	switch r.method {
	case "GetFlightInfo":
		var i flight.FlightInfo
		if proto.Unmarshal(m, &i) == nil {
			for _, e := range i.Endpoint {
				rec.texts.put(e.GetTicket().GetTicket(), r.text)
			}
		}
	case "DoAction":
		var v flight.Result
		if proto.Unmarshal(m, &v) == nil {
			if p, ok := decodeCommand(v.Body).(*pb.ActionCreatePreparedStatementResult); ok {
				rec.texts.put(p.PreparedStatementHandle, r.text)
			}
		}
	}
	r.text, r.down = "", nil
}

// recordFinal takes a call's end.
func (c *grpcConn) recordFinal(r *rpc, code string, at time.Time) {
	r.finished = true
	if a := r.request; a != nil {
		c.recorder.mu.Lock()
		if a.Finals++; a.Finals == 1 {
			a.Final, a.Code = at, code
		}
		c.recorder.mu.Unlock()
	}
}

// sqlStateOf is the SQLSTATE of trailers; "": served.
func sqlStateOf(h *http2.MetaHeadersFrame) string {
	code, details := "", ""
	for _, f := range h.Fields {
		switch f.Name {
		case "grpc-status":
			code = f.Value
		case "grpc-status-details-bin":
			details = f.Value
		}
	}
	if code == "0" {
		return ""
	}
	b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(details, "="))
	var s spb.Status
	if err == nil && proto.Unmarshal(b, &s) == nil {
		for _, d := range s.Details {
			var i errdetails.ErrorInfo
			if d.UnmarshalTo(&i) == nil && i.Metadata["sqlstate"] != "" {
				return i.Metadata["sqlstate"]
			}
		}
	}
	return "gRPC " + code
}
