package flightsql

import (
	"context"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cresspass/internal/frontend/flightsql/arrowbatch"
)

// Limits of a batch: it is sent when its rows have batchBytes in the engine's messages, when it has batchRows
// rows, or when no message arrived for batchIdleFlush.
const (
	batchBytes     = 512 << 10
	batchRows      = 64 << 10
	batchIdleFlush = 5 * time.Millisecond
)

// batchReader converts one response into record batches.
type batchReader struct {
	server       *Server
	call         *call
	chunks       chan flight.StreamChunk
	schema       *arrowbatch.Schema  // nil: not known yet
	builder      *arrowbatch.Builder // nil: no row description has arrived
	responseRead bool                // the response has been read to its end
	responseErr  error               // ended the response, after rows that are not sent yet; nil: none
	batches      []arrow.RecordBatch // to be sent
}

// streamBatches converts a response's rows into a stream of record batches. It returns once their schema is
// known, or the query has ended without one. ended is called once, with the error of the stream or nil.
func (s *Server) streamBatches(ctx context.Context, c *call,
	ended func(error)) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	r := &batchReader{server: s, call: c, chunks: make(chan flight.StreamChunk)}
	var spare []byte
	for r.schema == nil {
		b, more, err := c.receive(ctx, spare, 0)
		if err == nil {
			err = r.handleMessages(b)
		}
		if err != nil && (r.hasRows() || len(r.batches) > 0) {
			r.responseErr = err
			break
		}
		if err != nil {
			if r.builder != nil {
				r.builder.Release()
			}
			c.abandon()
			ended(err)
			return nil, nil, err
		}
		if spare = b; !more {
			r.responseRead = true
			if r.schema == nil {
				r.schema = &arrowbatch.Schema{Arrow: arrow.NewSchema(nil, nil)}
			}
		}
	}
	go r.deliver(ctx, spare, ended)
	return r.schema.Arrow, r.chunks, nil
}

// handleMessages reads the schema and the rows from an engine's messages. Its errors report that the
// statement may have run: an engine that answers has begun to run it.
func (r *batchReader) handleMessages(b []byte) error {
	return forEachMessage(b, func(kind byte, body []byte) error {
		switch kind {
		case 'T': // RowDescription
			return r.describeRows(body)
		case 'n': // NoData
			return r.setSchema(&arrowbatch.Schema{Arrow: arrow.NewSchema(nil, nil)})
		case 'D': // DataRow
			return r.addRow(body)
		case 'H', 'G', 'W': // CopyOutResponse, CopyInResponse, CopyBothResponse
			return unknownOutcome(codes.Unimplemented, copyNotSupported)
		case 'E': // ErrorResponse
			return engineError(body)
		}
		return nil
	})
}

// describeRows reads the schema from the body of a RowDescription.
func (r *batchReader) describeRows(body []byte) error {
	schema, err := arrowbatch.NewSchema(body, false)
	if err != nil {
		return unknownOutcome(codes.Unknown, "%v", err)
	}
	if err := r.setSchema(schema); err != nil {
		return err
	}
	r.builder = arrowbatch.NewBuilder(schema, r.server.mem)
	return nil
}

// setSchema sets the schema of the response, which has only one.
func (r *batchReader) setSchema(schema *arrowbatch.Schema) error {
	if r.schema != nil {
		return unknownOutcome(codes.Unknown, "a second description of the rows came")
	}
	r.schema = schema
	return nil
}

func (r *batchReader) addRow(body []byte) error {
	if r.builder == nil {
		return unknownOutcome(codes.Unknown, "a row came before its description")
	}
	if err := r.builder.AppendRow(body); err != nil {
		return unknownOutcome(codes.OutOfRange, "%v", err)
	}
	if r.builder.Bytes() >= batchBytes || r.builder.Rows() >= batchRows {
		r.batches = append(r.batches, r.builder.Batch())
	}
	return nil
}

// deliver sends batches as the client takes them. While the client takes none, no messages are taken from the
// call, the call's buffer fills, and the engine is no longer read.
func (r *batchReader) deliver(ctx context.Context, spare []byte, ended func(error)) {
	defer close(r.chunks)
	err := r.sendAll(ctx, spare)
	for _, b := range r.batches {
		b.Release()
	}
	if r.builder != nil {
		r.builder.Release()
	}
	if err != nil {
		r.call.abandon()
	}
	ended(err)
}

// sendAll reads the response to its end and sends its batches, and then the response's error if it has one.
func (r *batchReader) sendAll(ctx context.Context, spare []byte) error {
	if r.responseErr != nil {
		return r.sendError(ctx, r.responseErr)
	}
	for {
		if err := r.sendBatches(ctx); err != nil {
			return err
		}
		if r.responseRead {
			break
		}
		within := time.Duration(0)
		if r.hasRows() {
			within = batchIdleFlush
		}
		b, more, err := r.call.receive(ctx, spare, within)
		if err == nil {
			err = r.handleMessages(b)
		}
		if err != nil {
			return r.sendError(ctx, err)
		}
		r.responseRead = !more
		if idle := len(b) == 0 && more; idle || r.responseRead {
			r.flushRows()
		}
		spare = b
	}
	r.flushRows()
	return r.sendBatches(ctx)
}

// sendError ends the stream with an error of the response. Rows that arrived before it are sent first, unless
// the call was cancelled.
func (r *batchReader) sendError(ctx context.Context, err error) error {
	if status.Code(err) != codes.Canceled {
		r.flushRows()
		if sendErr := r.sendBatches(ctx); sendErr != nil {
			return sendErr
		}
	}
	select {
	case r.chunks <- flight.StreamChunk{Err: err}:
	case <-ctx.Done():
	}
	return err
}

// hasRows reports whether the builder has rows that are in no batch yet.
func (r *batchReader) hasRows() bool { return r.builder != nil && r.builder.Rows() > 0 }

// flushRows makes a batch of the builder's rows, if it has any.
func (r *batchReader) flushRows() {
	if r.hasRows() {
		r.batches = append(r.batches, r.builder.Batch())
	}
}

func (r *batchReader) sendBatches(ctx context.Context) error {
	for len(r.batches) > 0 {
		select {
		case r.chunks <- flight.StreamChunk{Data: r.batches[0]}:
			r.batches = r.batches[1:]
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
