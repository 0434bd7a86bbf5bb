package daemon

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/daemon/lifecycle"
	"cresspass/internal/goldentest"
	"cresspass/internal/invariant"
)

// The files under testdata hold what earlier builds answered and sent. A handover may run between two
// different builds.

// The JSON keys of Health do not change, and the answer of an earlier build can be read.
func TestGoldenHealth(t *testing.T) {
	want := Health{
		State:       "ready",
		Ready:       true,
		LoopLagging: true,
		Clients:     1,
		OpenQueries: 2,
		Accepted:    3,
		Served:      4,
		Rejected:    5,
		Failed:      6,
		Abandoned:   7,
		Violations:  map[invariant.Name]uint64{invariant.SentAfterEnd: 8},
		Withheld:    map[invariant.Name]uint64{invariant.SentAfterDeadline: 9},
	}
	var written bytes.Buffer
	for _, h := range []Health{want, {State: "starting"}} {
		if err := json.NewEncoder(&written).Encode(h); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, "health.json", written.Bytes())
	stored := goldentest.Read(t, "health.json")
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			t.Errorf("health was requested at %s", r.URL.Path)
		}
		if _, err := w.Write(stored); err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	defer http.DefaultClient.CloseIdleConnections()
	got, err := FetchHealth(context.Background(), strings.TrimPrefix(s.URL, "http://"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
}

// The names of the states are part of the health answer.
func TestGoldenStates(t *testing.T) {
	var written strings.Builder
	for _, s := range []lifecycle.State{lifecycle.Starting, lifecycle.Ready, lifecycle.HandingOver,
		lifecycle.Draining, lifecycle.Stopped} {
		fmt.Fprintln(&written, s)
	}
	goldentest.Compare(t, "states.txt", []byte(written.String()))
}

// recordedHandover returns the recorded messages of both sides of a handover, by kind, from testdata.
func recordedHandover(t *testing.T) map[string]string {
	recorded := map[string]string{}
	goldentest.Compare(t, "handover.txt", []byte("successor socket\npredecessor here\nsuccessor serving\n"+
		"predecessor draining\nrejected no another hand-over is under way, or this dispatcher ends\n"))
	stored := goldentest.Read(t, "handover.txt")
	for i, line := range strings.Split(strings.TrimSpace(string(stored)), "\n") {
		_, text, _ := strings.Cut(line, " ")
		recorded[[]string{"request", "listeners", "serving", "draining", "rejected"}[i]] = text + "\n"
	}
	for key, current := range map[string]string{"request": messageRequest, "listeners": messageListeners,
		"serving": messageServing, "draining": messageDraining} {
		if recorded[key] != current+"\n" {
			t.Errorf("message %s is %q, an earlier build sent %q", key, current, recorded[key])
		}
	}
	return recorded
}

func listenTestSocket(t *testing.T) (*net.UnixListener, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sock")
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln, path
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.(*net.TCPListener)
}

func writeText(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// A successor of an earlier build is served: it sends the recorded lines and receives the recorded ones.
func TestGoldenHandOverToEarlierBuild(t *testing.T) {
	recorded := recordedHandover(t)
	path := filepath.Join(t.TempDir(), "sock")
	events := make(chan lifecycle.Event, 8)
	h, err := listenForSuccessors(path, events, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer h.close()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	writeText(t, c, recorded["request"])
	connected := <-events
	if connected.Type != lifecycle.SuccessorConnected {
		t.Fatalf("event %+v, want SuccessorConnected", connected)
	}
	h.sendListeners(connected.SuccessorID, listenTCP(t), listenTCP(t))
	b, oob := make([]byte, 256), make([]byte, 256)
	n, oobn, _, _, err := c.ReadMsgUnix(b, oob)
	if err != nil || string(b[:n]) != recorded["listeners"] {
		t.Fatalf("received %q, %v, want %q", b[:n], err, recorded["listeners"])
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(messages) != 1 {
		t.Fatalf("%d control messages, %v, want 1", len(messages), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 2 {
		t.Errorf("%d sockets, %v, want 2", len(fds), err)
	}
	for _, fd := range fds {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	}
	writeText(t, c, recorded["serving"])
	if ev := <-events; ev.Type != lifecycle.SuccessorServing || ev.SuccessorID != connected.SuccessorID {
		t.Errorf("event %+v", ev)
	}
	lines := bufio.NewReader(c)
	h.announceDrain()
	if line, err := lines.ReadString('\n'); err != nil || line != recorded["draining"] {
		t.Errorf("received %q, %v, want %q", line, err, recorded["draining"])
	}
	h.reject(connected.SuccessorID)
	if line, err := lines.ReadString('\n'); err != nil || line != recorded["rejected"] {
		t.Errorf("received %q, %v, want %q", line, err, recorded["rejected"])
	}
	if ev := <-events; ev.Type != lifecycle.SuccessorLost || ev.SuccessorID != connected.SuccessorID {
		t.Errorf("event %+v", ev)
	}
}

// A handover from a predecessor of an earlier build succeeds, and its rejection is understood.
func TestGoldenHandOverFromEarlierBuild(t *testing.T) {
	recorded := recordedHandover(t)
	for _, rejected := range []bool{false, true} {
		ln, path := listenTestSocket(t)
		result := make(chan error, 1)
		listener := listenTCP(t)
		go func() {
			result <- func() error {
				c, err := ln.AcceptUnix()
				if err != nil {
					return err
				}
				defer c.Close()
				line, err := bufio.NewReader(c).ReadString('\n')
				if err != nil {
					return err
				}
				if line != recorded["request"] {
					return fmt.Errorf("received %q, want %q", line, recorded["request"])
				}
				if rejected {
					_, err = c.Write([]byte(recorded["rejected"]))
					return err
				}
				f, err := listener.File()
				if err != nil {
					return err
				}
				defer f.Close()
				_, _, err = c.WriteMsgUnix([]byte(recorded["listeners"]),
					syscall.UnixRights(int(f.Fd())), nil)
				return err
			}()
		}()
		listeners, predecessor, err := takeOverListeners(path)
		if e := <-result; e != nil {
			t.Fatal(e)
		}
		if rejected {
			if err == nil || !strings.Contains(err.Error(), strings.TrimSpace(recorded["rejected"])) {
				t.Errorf("error of a rejected successor: %v", err)
			}
			continue
		}
		if err != nil || len(listeners) != 1 || listeners[0].Addr().String() != listener.Addr().String() {
			t.Fatalf("listeners %v, %v, want that of the predecessor", listeners, err)
		}
		if err := listeners[0].Close(); err != nil {
			t.Error(err)
		}
		predecessor.close()
	}
}
