package server_test

import (
	"context"
	"database/sql"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
)

// TestCopyInThroughDrivers checks COPY FROM STDIN with the drivers pgx and lib/pq, alone and in transactions.
func TestCopyInThroughDrivers(t *testing.T) {
	_, s := startDispatcher(t, 3, baseSettings)
	ctx := context.Background()
	c := connect(t, s, "")
	rows := make([][]any, 20000)
	for i := range rows {
		rows[i] = []any{strings.Repeat("x", i%50)}
	}
	n, err := c.CopyFrom(ctx, pgx.Identifier{"t"}, []string{"value"}, pgx.CopyFromRows(rows))
	if err != nil {
		t.Fatal("pgx CopyFrom: ", err)
	}
	if n == 0 {
		t.Error("pgx copied nothing")
	}
	lines := strings.NewReader(strings.Repeat("a\tb\n", 300000))
	tag, err := c.PgConn().CopyFrom(ctx, lines, "copy t from stdin")
	if err != nil || tag.RowsAffected() != 300000 {
		t.Errorf("copied %v, %v", tag, err)
	}
	bad := &failingReader{strings.NewReader("a\n")}
	if _, err = c.PgConn().CopyFrom(ctx, bad, "copy t from stdin"); sqlState(err) != "57014" {
		t.Errorf("a copy that its client fails: %v, want 57014", err)
	}
	if err := c.QueryRow(ctx, "select 1 /*echo='on'*/").Scan(new(string), new(string)); err != nil {
		t.Error("query after a failed copy: ", err)
	}
	db, err := sql.Open("postgres", connectionString(s, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	tx, err := db.Begin()
	if err != nil {
		t.Fatal(err)
	}
	st, err := tx.Prepare(`COPY "t" ("a") FROM STDIN`)
	if err != nil {
		t.Fatal("lib/pq COPY: ", err)
	}
	for range 5000 {
		if _, err := st.Exec("some text"); err != nil {
			t.Fatal(err)
		}
	}
	if r, err := st.Exec(); err != nil {
		t.Error("lib/pq COPY: ", err)
	} else if n, _ := r.RowsAffected(); n != 5000 {
		t.Errorf("lib/pq copied %d rows, want 5000", n)
	}
	st.Close()
	if err := tx.Commit(); err != nil {
		t.Error(err)
	}
}

// failingReader reads a text and then fails.
type failingReader struct{ r *strings.Reader }

func (b *failingReader) Read(p []byte) (int, error) {
	if b.r.Len() == 0 {
		return 0, errors.New("read of the source failed")
	}
	return b.r.Read(p)
}

// TestCopyInAppliesBackPressure checks a client that sends a copy as fast as it can to an engine that takes
// 64 kB in 20 ms. The bytes in flight are bounded, other clients are served, and the engine rolls the copy
// back when the client disconnects.
func TestCopyInAppliesBackPressure(t *testing.T) {
	r, s := startDispatcher(t, 1, baseSettings)
	c := dialServer(t, s)
	c.send(&pgproto3.Query{String: "copy t from stdin /*chunk_ms='20',id='push'*/"})
	if seen := c.readUntil("CopyInResponse"); len(seen) != 1 {
		t.Fatal(seen)
	}
	chunk, _ := (&pgproto3.CopyData{Data: make([]byte, 64<<10)}).Encode(nil)
	var written atomic.Int64
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.conn.SetWriteDeadline(time.Now().Add(1500 * time.Millisecond))
		for written.Load() < 1<<30 {
			n, err := c.conn.Write(chunk)
			written.Add(int64(n))
			if err != nil {
				var netErr net.Error
				if !errors.As(err, &netErr) || !netErr.Timeout() {
					t.Error(err)
				}
				return
			}
		}
	}()
	other := dialServer(t, s)
	midCopyClient := dialServer(t, s) // its query during a copy fails the copy and does not run
	midCopyClient.send(&pgproto3.Query{String: "copy t from stdin"}, &pgproto3.CopyData{Data: []byte("a\n")},
		&pgproto3.Query{String: "insert into t values (1) /*id='odd'*/"}, &pgproto3.Query{String: "select 1"})
	if seen := append(midCopyClient.readUntil("Z"), midCopyClient.readUntil("Z")...); countPrefix(seen,
		"E:57014") != 1 || countPrefix(seen, "C") != 2 { // CopyInResponse and CommandComplete
		t.Errorf("a query during a copy: %v", seen)
	}
	for range 20 {
		if seen := other.query("select 1 /*echo='served'*/"); countPrefix(seen, "D:served") != 1 {
			t.Errorf("another client's query during a copy: %v", seen)
		}
	}
	<-done
	copied := r.Engines[0].Copied()
	// The socket buffers of both connections hold up to a few MB each. Without back-pressure 1 GB would be in
	// flight.
	if ahead := written.Load() - int64(copied); ahead > 32<<20 || copied < 1<<20 {
		t.Errorf("%d bytes in flight, want at most 32 MB; engine took %d, want at least 1 MB", ahead, copied)
	}
	if n := s.PendingBytes(); n > 1<<20 {
		t.Errorf("%d bytes are buffered for clients, want at most 1 MB", n)
	}
	c.conn.Close()
	eventually(t, "the engine has rolled the copy back", func() bool {
		for _, v := range r.Engines[0].Runs() {
			if v.ID == "push" {
				return v.Outcome == "failed" || v.Outcome == "died"
			}
		}
		return false
	})
	eventually(t, "all ended", func() bool { st := s.Stats(); return st.Open == 0 && st.Running == 0 })
}
