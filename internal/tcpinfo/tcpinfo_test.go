package tcpinfo

import (
	"testing"
	"time"

	"cresspass/internal/tcptest"
)

// TestSinceData checks that SinceData counts from the arrival of the bytes, even if they are not read.
func TestSinceData(t *testing.T) {
	const wait, slack = 200 * time.Millisecond, 20 * time.Millisecond
	conn, peer := tcptest.Pair(t)
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	peer.Write([]byte("x"))
	time.Sleep(wait)
	if since := SinceData(raw); since < wait-slack {
		t.Errorf("SinceData is %v, want at least about %v", since, wait)
	}
	conn.Close()
	if since := SinceData(raw); since != 0 {
		t.Errorf("SinceData of a closed connection is %v, want 0", since)
	}
}

// TestStateOf checks that the peer's close and reset are noticed although there is unread input.
func TestStateOf(t *testing.T) {
	for name, reset := range map[string]bool{"close": false, "reset": true} {
		conn, peer := tcptest.Pair(t)
		raw, err := conn.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		peer.Write([]byte("x"))
		if state := StateOf(raw); state != Open {
			t.Errorf("%s: state %d before, want Open", name, state)
		}
		if reset {
			peer.SetLinger(0)
		}
		peer.Close()
		for range 100 {
			if StateOf(raw) != Open {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if state := StateOf(raw); state != PeerClosed {
			t.Errorf("%s: state %d, want PeerClosed", name, state)
		}
		if n, err := conn.Read(make([]byte, 8)); n != 1 || err != nil {
			t.Errorf("%s: read %d bytes, %v; want the unread byte", name, n, err)
		}
		conn.Close()
		if state := StateOf(raw); state != OtherState {
			t.Errorf("%s: state %d of a connection that this end has closed, want OtherState", name, state)
		}
	}
}
