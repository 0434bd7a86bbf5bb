package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cresspass/internal/protocol/thrift"
)

// throttle stops the process for three quarters of each period, as the platform does with a dispatcher that
// has a quarter of a core, until the test ends.
func (p *testProcess) throttle(t *testing.T) {
	const running, stopped = 25 * time.Millisecond, 75 * time.Millisecond
	done := make(chan struct{})
	var throttling sync.WaitGroup
	throttling.Go(func() {
		for {
			p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(stopped)
			p.cmd.Process.Signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(running):
			}
		}
	})
	t.Cleanup(func() {
		close(done)
		throttling.Wait()
	})
}

// TestCancelledRequestsDelayNobody guards against clients that send requests under ever new names and cancel
// them at once, at full speed: other clients got their answers late, and memory grew with what was left of
// the requests.
func TestCancelledRequestsDelayNobody(t *testing.T) {
	forEachMemoryLimit(t, func(t *testing.T, memoryMB, sockets int) {
		p := startLimited(t, memoryMB, sockets, nil)
		p.throttle(t)
		p.checkUnderLoad(t, memoryMB, func() {
			var clients sync.WaitGroup
			for range 8 {
				client := p.dial()
				client.conn.SetDeadline(time.Now().Add(loadDuration))
				clients.Go(func() { floodCancelled(client) })
				clients.Go(func() {
					for client.receive().kind != "closed" {
					}
				})
			}
			clients.Wait()
		})
	})
}

// floodCancelled sends requests under new names, each followed by its cancel, until the connection's
// deadline.
func floodCancelled(client *testClient) {
	const requests = 200 // in a write
	for seq := int32(1); ; seq += requests {
		var b []byte
		for n := range int32(requests) {
			fields := requestFields(fmt.Sprintf("%016x", rand.Uint64()), "quick", "3600000")
			b = thrift.Dispatch{Fields: fields, Body: []byte("SELECT 1 FROM sales_3.t")}.Append(b, seq+n)
			b = thrift.CancelRequest{TargetSeq: seq + n}.Append(b, seq+n)
		}
		if _, err := client.conn.Write(b); err != nil {
			return
		}
	}
}

// TestUnsoundMessagesDelayNobody guards against clients that send small or invalid messages at full speed on
// one connection, or on ever new ones: other clients got their answers late.
func TestUnsoundMessagesDelayNobody(t *testing.T) {
	manyFields := make(thrift.Fields, thrift.MaxFields)
	for i := range manyFields {
		manyFields[i] = thrift.Field{Name: fmt.Sprint("f", i), Value: strings.Repeat("x", 20)}
	}
	longID := thrift.Dispatch{Body: []byte("SELECT 1"),
		Fields: requestFields(strings.Repeat("i", longStatementBytes), "quick", "100")}
	for name, message := range map[string][]byte{
		"alive":         thrift.Alive{}.Append(nil, 1),
		"no class":      thrift.Dispatch{Fields: requestFields(ticket(1), "none", "100")}.Append(nil, 1),
		"many fields":   thrift.Dispatch{Fields: manyFields, Body: []byte("SELECT 1")}.Append(nil, 1),
		"unknown":       thrift.CancelRequest{TargetSeq: 1 << 20}.Append(nil, 1),
		"one frame bad": {0, 0, 0, 4, 1, 2, 3, 4},
		"long id":       longID.Append(nil, 1),
	} {
		t.Run(name, func(t *testing.T) {
			const memoryMB, sockets = 32, 1024
			p := startLimited(t, memoryMB, sockets, nil)
			p.throttle(t)
			messages := bytes.Repeat(message, max(100_000/len(message), 1))
			p.checkUnderLoad(t, memoryMB, func() {
				var clients sync.WaitGroup
				for range 8 {
					clients.Go(func() {
						for begun := time.Now(); time.Since(begun) < loadDuration; {
							client := p.dial()
							client.conn.SetDeadline(begun.Add(loadDuration))
							for _, err := client.conn.Write(messages); err == nil; {
								_, err = client.conn.Write(messages)
							}
							client.conn.Close()
						}
					})
				}
				clients.Wait()
			})
		})
	}
}

// TestManyShortFieldsStayWithinMemory guards against messages that are kept while their connections wait for
// a turn: hundreds of clients that sent messages of very many short fields took the process over its limit.
func TestManyShortFieldsStayWithinMemory(t *testing.T) {
	const fields = 30_000
	call := thrift.Dispatch{Fields: requestFields(ticket(1), "quick", "1000"), Body: []byte("SELECT 1")}
	message := call.Append(nil, 1)
	message = message[:len(message)-1] // without the end of the struct
	for range fields {
		message = append(message, 2, 0, 9, 1) // a bool with an unknown number
	}
	message = append(message, 0)
	binary.BigEndian.PutUint32(message, uint32(len(message)-thrift.FrameHeaderBytes))
	forEachMemoryLimit(t, func(t *testing.T, memoryMB, sockets int) {
		p := startLimited(t, memoryMB, sockets, nil)
		p.throttle(t)
		p.checkUnderLoad(t, memoryMB, func() {
			var clients sync.WaitGroup
			for range sockets / 4 {
				client := p.dial()
				client.conn.SetDeadline(time.Now().Add(loadDuration))
				clients.Go(func() {
					for err := error(nil); err == nil; {
						_, err = client.conn.Write(message)
					}
				})
			}
			clients.Wait()
		})
	})
}
