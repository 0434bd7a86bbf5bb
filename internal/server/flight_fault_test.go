package server_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"cresspass/internal/discovery/eds"
	"cresspass/internal/standin"
)

// reportedRun returns the reason in an error's ErrorInfo and its "ran" field, which is whether the statement
// ran. It returns the error's message if there is no ErrorInfo.
func reportedRun(err error) string {
	if i := errorInfo(err); i != nil {
		return i.Reason + " " + i.Metadata["ran"]
	}
	return status.Convert(err).Message()
}

// TestFlightEngineDiesAfterThreeBatches checks the response of an engine that dies after three batches of
// rows. The client gets some of those rows, because the error may overtake the last ones, and no row that the
// engine did not send. It gets one error, whose code no retry policy retries, and which reports that it is
// unknown whether the statement ran. The test counts rows instead of batches, because a pause between rows
// ends a batch early.
func TestFlightEngineDiesAfterThreeBatches(t *testing.T) {
	r, s := startDispatcher(t, 2, flightSettings)
	const sent = 15
	for _, e := range r.Engines {
		e.SetFaults(standin.Faults{DieAfterRows: sent})
	}
	c := dialFlight(t, s, "u")
	fi, err := c.Execute(c.ctx, "select 1 /*rows='100',row_bytes='110000',id='dies'*/")
	if err != nil {
		t.Fatal(err)
	}
	rd, err := c.DoGet(c.ctx, fi.Endpoint[0].Ticket)
	if err != nil {
		t.Fatal(err)
	}
	defer rd.Release()
	rows := int64(0)
	for rd.Next() {
		rows += rd.RecordBatch().NumRows()
	}
	if err := rd.Err(); rows < 1 || rows > sent || status.Code(err) != codes.Unknown ||
		reportedRun(err) != "FAILED unknown" {
		t.Errorf("got %d rows and %v (%s), want 1 to 15 rows and Unknown", rows, err, reportedRun(err))
	}
	if n := countRuns(r, "dies"); n != 1 {
		t.Errorf("the statement ran %d times, want once", n)
	}
}

// TestFlightTickets checks tickets that are forged, belong to another session, are expired, are cancelled
// before or during their fetch, are fetched concurrently, or are fetched again.
func TestFlightTickets(t *testing.T) {
	r, s := startDispatcher(t, 2, flightSettings)
	a, b := dialFlight(t, s, "a"), dialFlight(t, s, "b")
	get := func(c *flightClient, fi *flight.FlightInfo) error {
		_, err := c.rows(c.ctx, fi)
		return err
	}
	issue := func(text string) *flight.FlightInfo {
		fi, err := a.Execute(a.ctx, text)
		if err != nil {
			t.Fatal(err)
		}
		return fi
	}
	write := issue("insert into t values (1) /*id='once',work_ms='80'*/")
	if err := get(b, write); status.Code(err) != codes.PermissionDenied {
		t.Errorf("another session's ticket: %v", err)
	}
	forged := issue("select 1")
	ticket := forged.Endpoint[0].Ticket.Ticket
	ticket[len(ticket)-1] ^= 1
	if err := get(a, forged); status.Code(err) != codes.PermissionDenied {
		t.Errorf("a forged ticket: %v", err)
	}
	ends := make(chan error, 8)
	for range 8 {
		go func() { ends <- get(a, write) }()
	}
	served, rejected := 0, 0
	for range 8 {
		switch err := <-ends; status.Code(err) {
		case codes.OK:
			served++
		case codes.FailedPrecondition:
			rejected++
		default:
			t.Error(err)
		}
	}
	if n := countRuns(r, "once"); served != 1 || rejected != 7 || n != 1 {
		t.Errorf("eight fetches: %d served, %d rejected, %d runs", served, rejected, n)
	}
	if err := get(a, write); status.Code(err) != codes.FailedPrecondition || countRuns(r, "once") != 1 {
		t.Errorf("fetched again: %v", err)
	}
	read := issue("select 1 /*id='twice'*/") // a statement that changes nothing may be fetched again
	if err := errors.Join(get(a, read), get(a, read)); err != nil || countRuns(r, "twice") != 2 {
		t.Errorf("a read fetched twice: %v", err)
	}
	cancelled := issue("insert into t values (1) /*id='never'*/")
	res, err := a.CancelFlightInfo(a.ctx, &flight.CancelFlightInfoRequest{Info: cancelled})
	if err != nil || res.Status != flight.CancelStatusCancelled {
		t.Errorf("cancel before the fetch: %v %v", res, err)
	}
	if err := get(a, cancelled); status.Code(err) != codes.FailedPrecondition || countRuns(r, "never") != 0 {
		t.Errorf("fetch after the cancel: %v", err)
	}
	long := issue("insert into t values (1) /*id='long',work_ms='4000'*/")
	go func() { ends <- get(a, long) }()
	eventually(t, "it runs", func() bool { return countRuns(r, "long") == 1 })
	if res, err := a.CancelFlightInfo(a.ctx, &flight.CancelFlightInfoRequest{Info: long}); err != nil ||
		res.Status != flight.CancelStatusCancelled {
		t.Errorf("cancel of a running statement: %v %v", res, err)
	}
	if err := <-ends; status.Code(err) != codes.Canceled {
		t.Errorf("fetch of a cancelled statement: %v", err)
	}
	old := issue("select 1")
	time.Sleep(2100 * time.Millisecond)
	if err := get(a, old); status.Code(err) != codes.NotFound {
		t.Errorf("an expired ticket: %v", err)
	}
	// A ticket whose statement was rejected may be fetched again.
	rejectedTicket := issue("insert into t values (1) /*id='refused'*/")
	for _, full := range []bool{true, false} {
		for _, e := range r.Engines {
			e.SetFaults(standin.Faults{Full: full})
		}
		switch err := get(a, rejectedTicket); {
		case full && (status.Code(err) != codes.ResourceExhausted || reportedRun(err) != "REFUSED false"):
			t.Errorf("rejected: %v (%s)", err, reportedRun(err))
		case !full && err != nil:
			t.Errorf("second fetch of a ticket whose statement was rejected: %v", err)
		}
	}
}

// TestFlightDeadlineAndCancel checks that grpc-timeout sets a query's deadline, and that a cancelled call
// ends its query on the engine and frees its buffers.
func TestFlightDeadlineAndCancel(t *testing.T) {
	r, s := startDispatcher(t, 1, flightSettings)
	c := dialFlight(t, s, "u")
	for i, end := range []codes.Code{codes.DeadlineExceeded, codes.Canceled} {
		id := fmt.Sprint("gone", i)
		fi, err := c.Execute(c.ctx, "select 1 /*work_ms='3000',id='"+id+"'*/")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(c.ctx, 400*time.Millisecond)
		if end == codes.Canceled {
			ctx, cancel = context.WithCancel(c.ctx)
			time.AfterFunc(200*time.Millisecond, cancel)
		}
		_, err = c.rows(ctx, fi)
		cancel()
		if err == nil {
			t.Errorf("%v: the query was served", end)
		}
		eventually(t, "nothing runs", func() bool { st := s.Stats(); return st.Open == 0 && st.Running == 0 })
		if n := countRuns(r, id); n > 1 {
			t.Errorf("%s ran %d times, want at most once", id, n)
		}
	}
	// The dispatcher has received these responses completely, and the clients' small windows keep it from
	// sending them.
	c = dialFlight(t, s, "u", grpc.WithInitialWindowSize(65535), grpc.WithInitialConnWindowSize(65535))
	for range 20 {
		fi, err := c.Execute(c.ctx, "select 1 /*rows='17000',row_bytes='90',work_ms='0'*/")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(c.ctx)
		rd, err := c.DoGet(ctx, fi.Endpoint[0].Ticket)
		time.Sleep(20 * time.Millisecond)
		if cancel(); err == nil {
			rd.Release()
		}
	}
	eventually(t, "no bytes wait", func() bool { return s.PendingBytes() == 0 })
	md := metadata.AppendToOutgoingContext(c.ctx, "grpc-previous-rpc-attempts", "1")
	if fi, err := c.Execute(md, "select 1"); err != nil {
		t.Error(err)
	} else if _, err := c.rows(md, fi); err != nil {
		t.Error(err)
	}
}

// TestFlightTransactionsExpireAndDrain checks that a transaction whose session expires is rolled back and
// that the client's next call reports it. A transaction whose engine drains gets a notice, may commit within
// the grace, and is ended after it.
func TestFlightTransactionsExpireAndDrain(t *testing.T) {
	r, s := startDispatcher(
		t,
		2,
		strings.Replace(flightSettings, "flight {", "flight {\n  session_rest = \"400ms\"",
			1),
	)
	c := dialFlight(t, s, "u")
	begin := func() *flightsql.Txn {
		tx, err := c.BeginTransaction(c.ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.ExecuteUpdate(c.ctx, "insert into t values (1)"); err != nil {
			t.Fatal(err)
		}
		return tx
	}
	tx := begin()
	eventually(t, "the session expires", func() bool { return s.StickySessions() == 0 })
	if err := tx.Commit(c.ctx); status.Code(err) != codes.Unauthenticated ||
		!strings.Contains(err.Error(), "rested for too long") {
		t.Errorf("a commit after the session's end: %v", err)
	}
	eventually(t, "the engines are free", func() bool {
		return r.Engines[0].Sessions()+r.Engines[1].Sessions() == 0
	})
	c = dialFlight(t, s, "u")
	for _, wait := range []bool{false, true} {
		tx = begin()
		for i := range r.Engines {
			r.UpdateEngine(i, func(e *eds.Engine) { e.State = eds.StateDraining })
		}
		var header metadata.MD
		eventually(t, "a notice", func() bool {
			if _, err := tx.Execute(c.ctx, "select 1", grpc.Header(&header)); err != nil {
				t.Fatal(err)
			}
			return len(header.Get("cresspass-notice")) > 0
		})
		if wait {
			eventually(t, "it is ended", func() bool {
				// The call keeps the session from expiring; its result does not matter.
				_, _ = c.GetSessionOptions(c.ctx, &flight.GetSessionOptionsRequest{})
				return s.StickySessions() == 0
			})
			if err := tx.Commit(c.ctx); status.Code(err) != codes.FailedPrecondition ||
				!strings.Contains(err.Error(), "drains") {
				t.Errorf("a commit after the grace: %v", err)
			}
		} else if err := tx.Commit(c.ctx); err != nil {
			t.Errorf("a commit within the grace: %v", err)
		}
		for i := range r.Engines {
			r.UpdateEngine(i, func(e *eds.Engine) { e.State = eds.StateActive })
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// TestFlightUnreadStream checks that the dispatcher stops reading from the engine if the client does not read
// a stream, that the memory buffered for the stream is bounded, and that other clients are served.
func TestFlightUnreadStream(t *testing.T) {
	_, s := startDispatcher(t, 1, strings.Replace(flightSettings, `deadline = "5s"`, `deadline = "120s"`, 1))
	slow, other := dialFlight(t, s, "slow"), dialFlight(t, s, "other")
	fi, err := slow.Execute(slow.ctx, "select 1 /*rows='400000',row_bytes='200',work_ms='0'*/")
	if err != nil {
		t.Fatal(err)
	}
	rd, err := slow.DoGet(slow.ctx, fi.Endpoint[0].Ticket)
	if err != nil {
		t.Fatal(err)
	}
	defer rd.Release()
	rd.Next()
	maxPending := int64(0)
	unread := time.Second // CRESSPASS_UNREAD sets another time, such as 1m
	if d, err := time.ParseDuration(os.Getenv("CRESSPASS_UNREAD")); err == nil {
		unread = d
	}
	for begin := time.Now(); time.Since(begin) < unread; {
		time.Sleep(10 * time.Millisecond)
		maxPending = max(maxPending, s.PendingBytes())
		if err := other.query("select 1 /*work_ms='0'*/"); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("unread for %v, at most %d bytes buffered", unread, maxPending)
	if maxPending > 1<<20 {
		t.Errorf("%d bytes were buffered for a client that does not read, want at most 1 MB", maxPending)
	}
	rows := rd.RecordBatch().NumRows()
	for rd.Next() {
		rows += rd.RecordBatch().NumRows()
	}
	if rd.Err() != nil || rows != 400000 {
		t.Errorf("%d rows, %v", rows, rd.Err())
	}
}

// TestFlightTenThousandStreams checks that each of ten thousand streams over ten connections ends once,
// served or rejected, and that none is left.
func TestFlightTenThousandStreams(t *testing.T) {
	// On a busy machine 10,000 calls take longer than the ticket lifetime of flightSettings, 2 s.
	settings := strings.Replace(flightSettings, `ticket_life = "2s"`, `ticket_life = "1m"`, 1)
	_, s := startDispatcher(t, 3, settings)
	var mu sync.Mutex
	ends := map[string]int{}
	var wg sync.WaitGroup
	for range 10 {
		c := dialFlight(t, s, "u")
		fi, err := c.Execute(c.ctx, "select 1 /*work_ms='0'*/")
		if err != nil {
			t.Fatal(err)
		}
		for range 1000 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
				defer cancel()
				_, err := c.rows(ctx, fi)
				end := "served"
				if err != nil {
					end = fmt.Sprint(status.Code(err), " ", reportedRun(err))
				}
				mu.Lock()
				ends[end]++
				mu.Unlock()
			}()
		}
	}
	wg.Wait()
	total := 0
	for end, n := range ends {
		if total += n; end != "served" && end != "ResourceExhausted REFUSED false" &&
			end != "ResourceExhausted REFUSED harmless" {
			t.Errorf("%d streams ended as %s", n, end)
		}
	}
	if total != 10000 || ends["served"] < 500 {
		t.Errorf("ends %v", ends)
	}
	t.Logf("ends %v", ends)
	eventually(t, "nothing is left", func() bool { st := s.Stats(); return st.Open == 0 && st.Running == 0 })
}

// TestFlightRapidReset checks that a client that opens calls only to reset them is disconnected, and that
// others are served meanwhile.
func TestFlightRapidReset(t *testing.T) {
	_, s := startDispatcher(t, 1, flightSettings)
	other := dialFlight(t, s, "other")
	nc, err := net.Dial("tcp", s.FlightAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	go io.Copy(io.Discard, nc)
	io.WriteString(nc, http2.ClientPreface)
	fr := http2.NewFramer(nc, nil)
	if err := fr.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	var head strings.Builder
	enc := hpack.NewEncoder(&head)
	for _, h := range [][2]string{{":method", "POST"}, {":scheme", "http"},
		{":path", "/arrow.flight.protocol.FlightService/GetFlightInfo"}, {":authority", "x"},
		{"content-type", "application/grpc"}, {"te", "headers"}} {
		if err := enc.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}); err != nil {
			t.Fatal(err)
		}
	}
	sent := 0
	for begin := time.Now(); time.Since(begin) < 10*time.Second; sent++ {
		id := uint32(2*sent + 1)
		err := fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: []byte(head.String()),
			EndHeaders: true})
		if err == nil {
			err = fr.WriteRSTStream(id, http2.ErrCodeCancel)
		}
		if err != nil {
			break
		}
		if sent%200 == 0 {
			if err := other.query("select 1 /*work_ms='0'*/"); err != nil {
				t.Fatalf("during the flood: %v", err)
			}
		}
	}
	t.Logf("disconnected after %d resets", sent)
	eventually(t, "the connection is closed", func() bool {
		_, err := nc.Write([]byte{0})
		return err != nil
	})
	if err := other.query("select 1"); err != nil {
		t.Error(err)
	}
}
