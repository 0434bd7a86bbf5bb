package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/jackc/pgx/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"cresspass/internal/rehearsal/testbed"
)

// In a handover under 2,000 statements a second no connection is refused and no statement is lost. The
// successor gets the state directory and the cached list, and joins the gossip in the predecessor's place
// once the predecessor has released its address.
func TestHandOver(t *testing.T) {
	env := newTestEnv(t)
	gossipAddr, err := testbed.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	peers := fmt.Sprintf("peers {\n  listen = %q\n  keys = [%q]\n  wait = \"0s\"\n}\n", gossipAddr,
		strings.Repeat("07", 32))
	predecessor := env.start(t, peers, false)
	load := env.startLoad(100, 50*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	for range 2 { // the second handover is from a dispatcher that was a successor itself
		successor := env.start(t, peers, true)
		select {
		case err := <-predecessor.done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("the predecessor did not exit within 10 s:\n%s", predecessor.log)
		}
		successor.waitForLog(t, `msg="membership changed" ordinal=0`)
		time.Sleep(300 * time.Millisecond)
		predecessor = successor
	}
	load.end(t)
	if err := predecessor.stopAndWait(t); err != nil {
		t.Error(err)
	}
}

// Sessions during a handover: one in a transaction stays with the predecessor until it has committed, one
// bound by a temporary table is ended at the drain timeout, and new sessions go to the successor.
func TestHandOverKeepsSessions(t *testing.T) {
	env := newTestEnv(t)
	predecessor := env.start(t, "", false)
	inTx, sticky := env.connect(t), env.connect(t)
	ctx := context.Background()
	for c, texts := range map[*pgx.Conn][]string{inTx: {"begin", "insert into t values (1)"},
		sticky: {"create temp table tmp_h (a int)"}} {
		for _, text := range texts {
			if _, err := c.Exec(ctx, text); err != nil {
				t.Fatal(err)
			}
		}
	}
	successor := env.start(t, "", true)
	predecessor.waitForLog(t, "to=draining")
	for _, text := range []string{"insert into t values (2)", "select 1", "commit"} {
		if _, err := inTx.Exec(ctx, text); err != nil {
			t.Errorf("%s in a transaction during a handover: %v", text, err)
		}
	}
	if _, err := sticky.Exec(ctx, "select 1 from tmp_h"); err != nil {
		t.Errorf("a session bound by a table: %v", err)
	}
	if _, err := inTx.Exec(ctx, "select 1"); sqlState(err) != "57P01" && !inTx.IsClosed() {
		t.Errorf("a free session at the draining predecessor: %v", err)
	}
	select {
	case err := <-predecessor.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("the predecessor did not exit within 10 s:\n%s", predecessor.log)
	}
	if _, err := sticky.Exec(ctx, "select 1 from tmp_h"); sqlState(err) != "57P01" && !sticky.IsClosed() {
		t.Errorf("a session bound by a table, after the drain timeout: %v", err)
	}
	if _, err := env.connect(t).Exec(ctx, "select 1"); err != nil {
		t.Error("the successor: ", err)
	}
	if err := successor.stopAndWait(t); err != nil {
		t.Error(err)
	}
}

// A handover of Flight SQL: the socket is handed over and no call is refused. A transaction commits at the
// predecessor. Other calls at the predecessor are rejected as not run, and its connections are closed.
func TestHandOverOfFlight(t *testing.T) {
	env := newTestEnv(t)
	addr, err := testbed.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	extra := fmt.Sprintf("flight { listen = %q }\n", addr)
	predecessor := env.start(t, extra, false)
	dial := func() (*flightsql.Client, context.Context) {
		c, err := flightsql.NewClient(addr, nil, nil,
			grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		ctx, err := c.Client.AuthenticateBasicToken(context.Background(), "u", "p")
		if err != nil {
			t.Fatal(err)
		}
		return c, ctx
	}
	old, ctx := dial()
	tx, err := old.BeginTransaction(ctx)
	if err != nil {
		t.Fatal(err)
	}
	successor := env.start(t, extra, true)
	predecessor.waitForLog(t, "to=draining")
	if _, err := tx.ExecuteUpdate(ctx, "insert into t values (1)"); err != nil {
		t.Errorf("in a transaction during a handover: %v", err)
	}
	if _, err := old.ExecuteUpdate(ctx, "insert into t values (2)"); status.Code(err) != codes.Unavailable {
		t.Errorf("outside the transaction, at the predecessor: %v", err)
	}
	c, successorCtx := dial()
	if _, err := c.ExecuteUpdate(successorCtx, "insert into t values (3)"); err != nil {
		t.Errorf("at the successor: %v", err)
	}
	if err := tx.Commit(ctx); err != nil {
		t.Errorf("commit during a handover: %v", err)
	}
	select {
	case err := <-predecessor.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("the predecessor did not exit within 10 s:\n%s", predecessor.log)
	}
	if err := successor.stopAndWait(t); err != nil {
		t.Error(err)
	}
}

// Successors that fail: one that dies after it got the sockets, two at once, and one without an endpoint
// list. The predecessor continues to serve without a lost statement.
func TestSuccessorsThatFail(t *testing.T) {
	env := newTestEnv(t)
	running := env.start(t, "", false)
	load := env.startLoad(20, 20*time.Millisecond)
	sock := filepath.Join(env.dir, "sock")
	listeners, predecessor, err := takeOverListeners(sock) // for a successor that dies
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := takeOverListeners(sock); err == nil ||
		!strings.Contains(err.Error(), "rejected by the predecessor") {
		t.Errorf("a second successor beside the first: %v", err)
	}
	if err := listeners[0].Close(); err != nil {
		t.Error(err)
	}
	predecessor.close()
	running.waitForLog(t, "from=\"handing over\" to=ready")
	env.testbed.Discovery.SetUnavailable(true) // a successor that gets no list gives up
	if err := os.Rename(env.waitForCachedList(t), filepath.Join(env.dir, "list")); err != nil {
		t.Fatal(err)
	}
	o, _ := env.options(t, "", true)
	o.Stop = make(chan struct{})
	if err := Run(context.Background(), o); err == nil || !strings.Contains(err.Error(), "no engine list") {
		t.Errorf("a successor without a list: %v", err)
	}
	env.testbed.Discovery.SetUnavailable(false)
	time.Sleep(100 * time.Millisecond)
	load.end(t)
	if _, _, err := takeOverListeners(filepath.Join(env.dir, "nobody")); err == nil {
		t.Error("a handover without a predecessor succeeded")
	}
	if err := running.stopAndWait(t); err != nil {
		t.Error(err)
	}
}
