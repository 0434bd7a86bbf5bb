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

// Flight SQL is decoded on the clients' side only: HTTP/2 frames, the gRPC messages in them, and the Flight
// SQL commands in those. A query begins with the message that runs it (DoGet with a statement's ticket, DoPut
// of an update) and ends with the trailers of its call. A ticket or a handle refers to the statement for
// which the dispatcher issued it.

const (
	maxFrameSize     = 1<<24 - 1 // bytes; the largest that HTTP/2 allows
	headerTableSize  = 4096      // bytes; the default of HPACK
	messageHeaderLen = 5         // bytes before a gRPC message: a flag and the length
	codeReset        = "reset"   // in place of a SQLSTATE: the dispatcher reset the stream
)

// The methods of Flight SQL's gRPC service.
const (
	methodHandshake     = "Handshake"
	methodGetFlightInfo = "GetFlightInfo"
	methodDoAction      = "DoAction"
	methodDoGet         = "DoGet"
	methodDoPut         = "DoPut"
)

// rpc is one gRPC call: one HTTP/2 stream of a connection.
type rpc struct {
	method   string
	up       []byte   // bytes of the client's first message, which is not complete yet
	down     []byte   // bytes of the answer's first message, if it is to have a ticket or a handle
	received bool     // the client's first message was read
	text     string   // the statement whose ticket or handle the answer will contain
	request  *Request // the query that the call runs; nil: none that has tags
	finished bool     // its end was recorded
}

// grpcConn decodes one gRPC connection. Two goroutines decode its two directions.
type grpcConn struct {
	recorder *Recorder
	name     string

	mu      sync.Mutex
	changed *sync.Cond
	streams map[uint32]*rpc // by HTTP/2 stream id
	up      *tap            // the direction of the requests
	ended   bool            // no more requests come
}

// decodeGRPC decodes both directions of a connection to a dispatcher's address for Flight SQL: up has the
// bytes to the dispatcher, down those to the client.
func (rec *Recorder) decodeGRPC(name string, up, down *tap) {
	c := &grpcConn{recorder: rec, name: name, streams: map[uint32]*rpc{}, up: up}
	c.changed = sync.NewCond(&c.mu)
	up.onWait = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	}
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		if err := c.readRequests(up); !isEndOfStream(err) {
			rec.recordUnreadable(Clients, "gRPC requests: "+err.Error(), name)
		}
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
		c.changed.Broadcast()
		up.discard()
	}()
	if err := c.readAnswers(down); !isEndOfStream(err) {
		rec.recordUnreadable(Clients, "gRPC answers: "+err.Error(), name)
	}
	down.discard()
	<-requestsEnded
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, call := range c.streams {
		if r := call.request; r != nil && r.FinalCount == 0 && r.ConnectionEnded.IsZero() {
			r.recordConnectionEnd(down, up)
		}
	}
}

// newFramer returns a reader of HTTP/2 frames with decoded headers.
func newFramer(r io.Reader) *http2.Framer {
	f := http2.NewFramer(io.Discard, r)
	f.SetMaxReadFrameSize(maxFrameSize)
	f.ReadMetaHeaders = hpack.NewDecoder(headerTableSize, nil)
	return f
}

// readRequests reads the client's frames until an error, which may be the end of the stream.
func (c *grpcConn) readRequests(up *tap) error {
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(up, preface); err != nil {
		return err
	}
	if string(preface) != http2.ClientPreface {
		return errors.New("no preface")
	}
	framer := newFramer(up)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.handleRequestFrame(frame, up.at)
		c.mu.Unlock()
		c.changed.Broadcast()
	}
}

// handleRequestFrame records a frame of the client. The caller holds c.mu, which is released while the
// statement of a ticket is awaited.
func (c *grpcConn) handleRequestFrame(frame http2.Frame, at time.Time) {
	call := c.streams[frame.Header().StreamID]
	switch frame := frame.(type) {
	case *http2.MetaHeadersFrame:
		path := frame.PseudoValue("path")
		c.streams[frame.StreamID] = &rpc{method: path[strings.LastIndexByte(path, '/')+1:]}
	case *http2.DataFrame:
		if call == nil || call.received {
			return
		}
		call.up = append(call.up, frame.Data()...)
		if message, ok := firstMessage(call.up); ok {
			c.mu.Unlock()
			c.handleRequest(call, message, at)
			c.mu.Lock()
			call.received, call.up = true, nil
		}
	case *http2.RSTStreamFrame:
		if call == nil || call.request == nil {
			return
		}
		c.recorder.mu.Lock()
		if r := call.request; r.FinalCount == 0 && r.ConnectionEnded.IsZero() {
			r.ConnectionEnded = at
		}
		c.recorder.mu.Unlock()
		call.finished = true
	}
}

// firstMessage returns the first gRPC message in b ("gRPC over HTTP2", Length-Prefixed-Message), if it is
// complete.
func firstMessage(b []byte) (message []byte, ok bool) {
	if len(b) < messageHeaderLen {
		return nil, false
	}
	end := messageHeaderLen + int(binary.BigEndian.Uint32(b[1:]))
	if len(b) < end {
		return nil, false
	}
	return b[messageHeaderLen:end], true
}

// decodeCommand decodes a Flight SQL command; nil: b is none.
func decodeCommand(b []byte) proto.Message {
	var command anypb.Any
	if proto.Unmarshal(b, &command) != nil {
		return nil
	}
	m, err := command.UnmarshalNew()
	if err != nil {
		return nil
	}
	return m
}

// handleRequest records the first message of a call. A message that is no Flight SQL command is ignored: it
// runs no statement.
func (c *grpcConn) handleRequest(call *rpc, message []byte, at time.Time) {
	statements := &c.recorder.statements
	switch call.method {
	case methodGetFlightInfo:
		var descriptor flight.FlightDescriptor
		if proto.Unmarshal(message, &descriptor) != nil {
			return
		}
		switch m := decodeCommand(descriptor.Cmd).(type) {
		case *pb.CommandStatementQuery:
			call.text = m.Query
		case *pb.CommandPreparedStatementQuery:
			call.text = statements.get(m.PreparedStatementHandle)
		}
	case methodDoAction:
		var action flight.Action
		if proto.Unmarshal(message, &action) != nil {
			return
		}
		if m, ok := decodeCommand(action.Body).(*pb.ActionCreatePreparedStatementRequest); ok {
			call.text = m.Query
		}
	case methodDoGet:
		var ticket flight.Ticket
		if proto.Unmarshal(message, &ticket) == nil {
			c.recordRequest(call, statements.get(ticket.Ticket), at)
		}
	case methodDoPut:
		var data flight.FlightData
		if proto.Unmarshal(message, &data) != nil {
			return
		}
		switch m := decodeCommand(data.GetFlightDescriptor().GetCmd()).(type) {
		case *pb.CommandStatementUpdate:
			c.recordRequest(call, m.Query, at)
		case *pb.CommandPreparedStatementUpdate:
			c.recordRequest(call, statements.get(m.PreparedStatementHandle), at)
		}
	}
}

// recordRequest records a query, if it has the tags id and class.
func (c *grpcConn) recordRequest(call *rpc, text string, at time.Time) {
	tags := statementTags(text, "")
	if tags["id"] == "" || tags["class"] == "" {
		return
	}
	call.request = newRequest(tags, c.name, at)
	c.recorder.addRequest(call.request)
}

// readAnswers reads the dispatcher's frames until an error, which may be the end of the stream. The answer
// of a call is handled after its request.
func (c *grpcConn) readAnswers(down *tap) error {
	framer := newFramer(down)
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.handleAnswerFrame(frame, down.at)
		c.mu.Unlock()
	}
}

// handleAnswerFrame records a frame of the dispatcher. The caller holds c.mu.
func (c *grpcConn) handleAnswerFrame(frame http2.Frame, at time.Time) {
	call := c.awaitCall(frame.Header().StreamID)
	if call == nil {
		return
	}
	switch frame := frame.(type) {
	case *http2.MetaHeadersFrame:
		if frame.StreamEnded() {
			c.recordFinal(call, trailerSQLState(frame), at)
		}
	case *http2.DataFrame:
		c.handleData(call, frame.Data())
	case *http2.RSTStreamFrame:
		if !call.finished {
			c.recordFinal(call, codeReset, at)
		}
	}
}

// awaitCall waits until the request of a call was read, as the decoder of the requests may lag. It returns
// nil for frames that belong to the connection, and for a call whose headers have not arrived. The caller
// holds c.mu.
func (c *grpcConn) awaitCall(id uint32) *rpc {
	if id == 0 {
		return nil
	}
	for {
		call := c.streams[id]
		// A handshake sends its credentials in a header and no message.
		received := call != nil && (call.received || call.method == methodHandshake)
		if received || c.ended || c.up.drained() {
			return call
		}
		c.changed.Wait()
	}
}

// handleData records the bytes of an answer: rows of a query, or the ticket or handle of a statement. Each
// data frame of a query counts as one row.
func (c *grpcConn) handleData(call *rpc, data []byte) {
	rec := c.recorder
	if r := call.request; r != nil {
		rec.mu.Lock()
		r.Rows++
		if r.FinalCount > 0 {
			r.MessagesAfterFinal++
		}
		rec.mu.Unlock()
		return
	}
	if call.text == "" {
		return
	}
	call.down = append(call.down, data...)
	message, ok := firstMessage(call.down)
	if !ok {
		return
	}
	switch call.method {
	case methodGetFlightInfo:
		var info flight.FlightInfo
		if proto.Unmarshal(message, &info) == nil {
			for _, e := range info.Endpoint {
				rec.statements.put(e.GetTicket().GetTicket(), call.text)
			}
		}
	case methodDoAction:
		var result flight.Result
		if proto.Unmarshal(message, &result) == nil {
			if p, ok := decodeCommand(result.Body).(*pb.ActionCreatePreparedStatementResult); ok {
				rec.statements.put(p.PreparedStatementHandle, call.text)
			}
		}
	}
	call.text, call.down = "", nil
}

// recordFinal records the end of a call; code "": it was served.
func (c *grpcConn) recordFinal(call *rpc, code string, at time.Time) {
	call.finished = true
	if r := call.request; r != nil {
		c.recorder.mu.Lock()
		r.recordFinal(at, code)
		c.recorder.mu.Unlock()
	}
}

// trailerSQLState returns the SQLSTATE in the details of a call's trailers, or else the gRPC code; "": the
// query was served.
func trailerSQLState(h *http2.MetaHeadersFrame) string {
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
