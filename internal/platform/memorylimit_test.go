package platform

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/frontend/thriftserver"
	"cresspass/internal/protocol/thrift"
)

// The load of the tests in this file.
const (
	longStatementBytes = 120_000                 // just below the longest message that is accepted
	usualInterval      = 50 * time.Millisecond   // between a usual client's requests
	usualDeadline      = 1500 * time.Millisecond // of a usual client's request
	latePardon         = 500 * time.Millisecond  // an answer this long after its deadline is lost (STANDING)
	loadDuration       = 3 * time.Second         // of the other clients' load
	memoryPollInterval = 5 * time.Millisecond
)

// memoryLimits are the limits of memory in MB and of descriptors with which the tests run: the least memory
// that the platform grants beside the most descriptors, and usual ones.
var memoryLimits = []struct{ memoryMB, sockets int }{{32, 1024}, {64, 384}}

// startLimited starts the program with limits of memory and descriptors, and a quarter of a core in its
// configuration.
func startLimited(t *testing.T, memoryMB, sockets int, prepare func(h *harness)) *testProcess {
	t.Helper()
	return startProgram(t, func(h *harness) {
		data, err := os.ReadFile(h.path)
		if err != nil {
			t.Fatal(err)
		}
		for from, to := range map[string]string{
			`"cores":1`:      `"cores":0.25`,
			`"memory_mb":64`: fmt.Sprintf(`"memory_mb":%d`, memoryMB),
			`"sockets":256`:  fmt.Sprintf(`"sockets":%d`, sockets),
		} {
			if !bytes.Contains(data, []byte(from)) {
				t.Fatalf("the configuration does not contain %s", from)
			}
			data = bytes.Replace(data, []byte(from), []byte(to), 1)
		}
		h.writeConfig(data)
		if prepare != nil {
			prepare(h)
		}
	})
}

// residentMB returns the process's own memory in MB: without the pages of its program's file.
func (p *testProcess) residentMB() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if figure, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(figure)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// watchMemory polls the process's memory until the function that it returns is called, which returns the
// largest value in MB.
func (p *testProcess) watchMemory() (stop func() float64) {
	largest, stopped := 0.0, make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			largest = max(largest, p.residentMB())
			select {
			case <-stopped:
				return
			case <-time.After(memoryPollInterval):
			}
		}
	})
	return func() float64 {
		close(stopped)
		watching.Wait()
		return largest
	}
}

// usualClient is a client that sends short requests at a steady rate.
type usualClient struct {
	kinds map[string]int // number of replies by kind
	late  []time.Duration
	worst time.Duration
}

// run sends requests until stop is closed, and then waits for the last replies.
func (u *usualClient) run(p *testProcess, stop chan struct{}) {
	u.kinds = map[string]int{}
	client := p.dial()
	var mu sync.Mutex
	sent := map[int32]time.Time{}
	var reading sync.WaitGroup
	wanted := make(chan struct{}, 1<<12)
	reading.Go(func() {
		for range wanted {
			got := client.receive()
			mu.Lock()
			took := time.Since(sent[got.seq])
			mu.Unlock()
			u.kinds[got.kind]++
			u.worst = max(u.worst, took)
			if took > usualDeadline+latePardon {
				u.late = append(u.late, took)
			}
		}
	})
	for running := true; running; {
		mu.Lock()
		sent[client.lastSeq+1] = time.Now()
		mu.Unlock()
		client.send(requestFields(fmt.Sprintf("%016x", rand.Uint64()), "quick",
			strconv.FormatInt(usualDeadline.Milliseconds(), 10)))
		wanted <- struct{}{}
		select {
		case <-stop:
			running = false
		case <-time.After(usualInterval):
		}
	}
	close(wanted)
	reading.Wait()
}

// checkUnderLoad runs a load beside a usual client, and checks that the process stays within its memory and
// that the usual client gets its answers in time, most of them with a result.
func (p *testProcess) checkUnderLoad(t *testing.T, memoryMB int, load func()) {
	t.Helper()
	largest := p.watchMemory()
	var usual usualClient
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { usual.run(p, stop) })
	time.Sleep(10 * usualInterval)
	load()
	close(stop)
	clients.Wait()
	most := largest()
	t.Logf("most memory %.1f MB of %d; usual client: %v, slowest answer after %v", most, memoryMB,
		usual.kinds, usual.worst.Round(time.Millisecond))
	if most > float64(memoryMB) {
		t.Errorf("the process held %.0f MB, its limit is %d MB", most, memoryMB)
	}
	if len(usual.late) > 0 {
		t.Errorf("%d answers to the usual client were lost, the slowest came after %v", len(usual.late),
			slices.Max(usual.late))
	}
	if others := usual.kinds["closed"] + usual.kinds["cut"] + usual.kinds["exception"]; others > 0 {
		t.Errorf("the usual client got %v", usual.kinds)
	}
	if usual.kinds["answer"] == 0 {
		t.Errorf("the usual client got no result: %v", usual.kinds)
	}
	select {
	case err := <-p.ended:
		t.Errorf("the process ended: %v\n%s", err, p.log.String())
	default:
	}
}

// longRequest returns a message with a long statement.
func longRequest(seq int32, class, limit string) []byte {
	body := "select 1 from sales_3.t where id in (" + strings.Repeat("7,", longStatementBytes/2) + "7)"
	return thrift.Dispatch{Fields: requestFields(fmt.Sprintf("%016x", rand.Uint64()), class, limit),
		Body: []byte(body)}.Append(nil, seq)
}

// forEachMemoryLimit runs a test with each of memoryLimits.
func forEachMemoryLimit(t *testing.T, test func(t *testing.T, memoryMB, sockets int)) {
	for _, limits := range memoryLimits {
		t.Run(fmt.Sprintf("%d MB and %d descriptors", limits.memoryMB, limits.sockets), func(t *testing.T) {
			test(t, limits.memoryMB, limits.sockets)
		})
	}
}

// TestLongStatementsStayWithinMemory guards against memory that grows with the statements of open requests:
// clients that sent many long statements at once took the process over its limit.
func TestLongStatementsStayWithinMemory(t *testing.T) {
	forEachMemoryLimit(t, func(t *testing.T, memoryMB, sockets int) {
		p := startLimited(t, memoryMB, sockets, func(h *harness) {
			h.node.setHandler(func(http.ResponseWriter, *http.Request, string, string) bool {
				time.Sleep(40 * time.Millisecond)
				return false
			})
		})
		p.checkUnderLoad(t, memoryMB, func() {
			var clients sync.WaitGroup
			for range 40 {
				client := p.dial()
				clients.Go(func() {
					for seq := range int32(32) {
						client.conn.Write(longRequest(seq+1, "quick", "2000"))
					}
				})
				clients.Go(func() {
					for range 32 {
						if got := client.receive(); got.kind == "closed" {
							return
						}
					}
				})
			}
			clients.Wait()
		})
	})
}

// TestHalfSentMessagesStayWithinMemory guards against memory that grows with messages of which a part has
// arrived: hundreds of clients that stopped half way through a long message took the process over its limit.
func TestHalfSentMessagesStayWithinMemory(t *testing.T) {
	forEachMemoryLimit(t, func(t *testing.T, memoryMB, sockets int) {
		p := startLimited(t, memoryMB, sockets, nil)
		p.checkUnderLoad(t, memoryMB, func() {
			message := longRequest(1, "quick", "2000")
			for begun := time.Now(); time.Since(begun) < loadDuration; {
				for range sockets / 3 {
					p.dial().conn.Write(message[:len(message)-1000])
				}
				time.Sleep(frameTimeout / 2)
			}
		})
	})
}

// TestUnreadAnswersStayWithinMemory guards against memory that grows with answers that clients do not read:
// each connection could hold 4 MB of them.
func TestUnreadAnswersStayWithinMemory(t *testing.T) {
	forEachMemoryLimit(t, func(t *testing.T, memoryMB, sockets int) {
		p := startLimited(t, memoryMB, sockets, func(h *harness) { h.serveLargeResults() })
		p.checkUnderLoad(t, memoryMB, func() {
			// A socket on the loopback interface holds a few MB, so each client asks for more than that.
			const clients, rounds = 30, 15
			var unread []*testClient
			for range clients {
				unread = append(unread, p.dialUnread(t))
			}
			for range rounds {
				for _, client := range unread {
					sendCheapRequests(client, thriftserver.MaxOpenRequests)
				}
				time.Sleep(loadDuration / rounds)
			}
		})
	})
}

// sendCheapRequests sends requests that cost their compute node little. It ignores the error of a connection
// that the process has closed.
func sendCheapRequests(client *testClient, requests int) {
	var b []byte
	for range requests {
		client.lastSeq++
		fields := requestFields(fmt.Sprintf("%016x", rand.Uint64()), "quick", "2000", "cpu", "1")
		b = thrift.Dispatch{Fields: fields, Body: []byte("SELECT 1")}.Append(b, client.lastSeq)
	}
	client.conn.Write(b)
}

// dialUnread connects a client whose socket holds little that it does not read.
func (p *testProcess) dialUnread(t *testing.T) *testClient {
	const receiveBuffer = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, setErr)
	}}
	conn, err := dialer.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return newTestClient(t, conn)
}
