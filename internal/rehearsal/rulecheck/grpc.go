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

// texts are the statements behind tickets and handles, of all connections.
type texts struct {
	mu   sync.Mutex
	of   map[string]string
	more chan struct{} // closed and made anew with each entry
}

func (t *texts) put(key []byte, text string) {
	t.mu.Lock()
	t.of[string(key)] = text
	if t.more != nil {
		close(t.more)
		t.more = nil
	}
	t.mu.Unlock()
}

// get waits for a text: the answer that told of it came before it was asked for, but its decoder may be a
// moment behind.
func (t *texts) get(key []byte) string {
	late := time.After(time.Second)
	for {
		t.mu.Lock()
		text, ok := t.of[string(key)]
		if t.more == nil {
			t.more = make(chan struct{})
		}
		more := t.more
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
	method string
	up     []byte // bytes of messages not yet whole
	down   []byte
	told   bool   // the first message of the client was read
	text   string // the statement that its answer's ticket or handle stands for
	ask    *Ask
	over   bool
}

// grpcConn is one connection's state while it is decoded.
type grpcConn struct {
	rec  *Recorder
	name string

	mu      sync.Mutex
	more    *sync.Cond
	streams map[uint32]*rpc
	ended   bool // no more requests
}

func (rec *Recorder) decodeGRPC(name string, up, down *tap) {
	c := &grpcConn{rec: rec, name: name, streams: map[uint32]*rpc{}}
	c.more = sync.NewCond(&c.mu)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := c.requests(up); err != nil && !cut(err) {
			rec.note(Clients, "gRPC requests: "+err.Error(), name)
		}
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
		c.more.Broadcast()
		io.Copy(io.Discard, up)
	}()
	if err := c.answers(down); err != nil && !cut(err) {
		rec.note(Clients, "gRPC answers: "+err.Error(), name)
	}
	io.Copy(io.Discard, down)
	<-done
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, r := range c.streams {
		if a := r.ask; a != nil && a.Finals == 0 && a.Gone.IsZero() {
			if a.Gone = up.ended; down.ended.Before(up.ended) {
				a.Gone, a.ServerGone = down.ended, true
			}
		}
	}
}

// cut reports whether a direction ended, wherever that was.
func cut(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

func framer(r io.Reader) *http2.Framer {
	f := http2.NewFramer(io.Discard, r)
	f.SetMaxReadFrameSize(1<<24 - 1)
	f.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	return f
}

// requests reads the client's frames.
func (c *grpcConn) requests(up *tap) error {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(up, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return errors.New("no preface")
	}
	f := framer(up)
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
			if r != nil && !r.told {
				r.up = append(r.up, fr.Data()...)
				if m, _, ok := message(r.up); ok {
					c.mu.Unlock()
					c.request(r, m, up.at)
					c.mu.Lock()
					r.told, r.up = true, nil
				}
			}
		case *http2.RSTStreamFrame:
			if r != nil && r.ask != nil {
				c.rec.mu.Lock()
				if r.ask.Finals == 0 && r.ask.Gone.IsZero() {
					r.ask.Gone = up.at
				}
				c.rec.mu.Unlock()
				r.over = true
			}
		}
		c.mu.Unlock()
		c.more.Broadcast()
	}
}

// message takes the first of gRPC's messages ("gRPC over HTTP2", Length-Prefixed-Message).
func message(b []byte) (m, rest []byte, ok bool) {
	if len(b) < 5 {
		return nil, b, false
	}
	n := int(binary.BigEndian.Uint32(b[1:]))
	if len(b) < 5+n {
		return nil, b, false
	}
	return b[5 : 5+n], b[5+n:], true
}

// command reads a command of Flight SQL's; nil: it is none.
func command(b []byte) proto.Message {
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

// request takes a call's first message.
func (c *grpcConn) request(r *rpc, b []byte, at time.Time) {
	t := &c.rec.texts
	switch r.method {
	case "GetFlightInfo":
		var d flight.FlightDescriptor
		if proto.Unmarshal(b, &d) == nil {
			switch m := command(d.Cmd).(type) {
			case *pb.CommandStatementQuery:
				r.text = m.Query
			case *pb.CommandPreparedStatementQuery:
				r.text = t.get(m.PreparedStatementHandle)
			}
		}
	case "DoAction":
		var a flight.Action
		if proto.Unmarshal(b, &a) == nil {
			if m, ok := command(a.Body).(*pb.ActionCreatePreparedStatementRequest); ok {
				r.text = m.Query
			}
		}
	case "DoGet":
		var k flight.Ticket
		if proto.Unmarshal(b, &k) == nil {
			c.asked(r, t.get(k.Ticket), at)
		}
	case "DoPut":
		var d flight.FlightData
		if proto.Unmarshal(b, &d) == nil {
			switch m := command(d.GetFlightDescriptor().GetCmd()).(type) {
			case *pb.CommandStatementUpdate:
				c.asked(r, m.Query, at)
			case *pb.CommandPreparedStatementUpdate:
				c.asked(r, t.get(m.PreparedStatementHandle), at)
			}
		}
	}
}

// asked enters a query.
func (c *grpcConn) asked(r *rpc, text string, at time.Time) {
	t := tags(text, "")
	if t["id"] == "" || t["class"] == "" {
		return
	}
	r.ask = &Ask{ID: t["id"], Class: t["class"], Key: t["key"], Dispatcher: c.name, At: at, Tags: t}
	c.rec.mu.Lock()
	c.rec.log.Asks = append(c.rec.log.Asks, r.ask)
	c.rec.byID[r.ask.ID] = r.ask
	c.rec.mu.Unlock()
}

// answers reads the dispatcher's frames. A call's answer is taken once its request has been.
func (c *grpcConn) answers(down *tap) error {
	f := framer(down)
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
				c.final(r, state(fr), down.at)
			}
		case *http2.DataFrame:
			if r != nil {
				c.data(r, fr.Data())
			}
		case *http2.RSTStreamFrame:
			if r != nil && !r.over {
				c.final(r, "reset", down.at)
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
		c.more.Broadcast()
	})
	defer limit.Stop()
	for {
		// a handshake by header has no message to wait for
		if r := c.streams[id]; r != nil && (r.told || r.method == "Handshake") || late || c.ended {
			return r
		}
		c.more.Wait()
	}
}

// data takes bytes of an answer.
func (c *grpcConn) data(r *rpc, b []byte) {
	rec := c.rec
	if a := r.ask; a != nil {
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
	m, _, ok := message(r.down)
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
			if p, ok := command(v.Body).(*pb.ActionCreatePreparedStatementResult); ok {
				rec.texts.put(p.PreparedStatementHandle, r.text)
			}
		}
	}
	r.text, r.down = "", nil
}

// final takes a call's end.
func (c *grpcConn) final(r *rpc, code string, at time.Time) {
	r.over = true
	if a := r.ask; a != nil {
		c.rec.mu.Lock()
		if a.Finals++; a.Finals == 1 {
			a.Final, a.Code = at, code
		}
		c.rec.mu.Unlock()
	}
}

// state is the SQLSTATE of trailers; "": served.
func state(h *http2.MetaHeadersFrame) string {
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
