//go:build review

// Case 10: some clients send hundreds of requests with long statements at once; the dispatcher goes over its
// limit of memory.
package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"cresspass/review/lab2"
)

const settings = `{"classes":[{"name":"lookup","aim-us":1000000,"deadline-us":3000000,"importance":1.0,
"semantics":"safe","window-us":0}],"shapes":["k"],"specifics":{"class-threads":[1],"cpu-of-kind":[8],
"kind-memory-mb":[16384.0]},"limits":{"cancel":true,"may-probe":true,"max-attempts":4,"retry-after":true,
"max-retry-after-us":2000000,"connect-timeout-us":250000,"conn-idle-us":15000000},
"rules":{"grace-to-answer-us":5000,"stop-sending-within-us":2000000},"peers-total":1,"ordinal":0,
"tick-us":1000,"tenants":[],"zone":"z","membership-mode":"push"}`

const (
	// Scored days allow 32 to 192 MB and 256 to 1,024 descriptors.
	memoryMB = 64
	sockets  = 1024

	strangers   = 4  // clients
	connections = 10 // of each; a third of the descriptors is 341
	openAtOnce  = 32 // requests on a connection, the most that may be open
	// longStatement is the length of the strangers' statements in bytes, shortStatement that without the
	// disruption.
	longStatement  = 120_000
	shortStatement = 100
	limit          = 2500 * time.Millisecond
	queryTakes     = 40 * time.Millisecond
)

func main() {
	l := lab2.New("review/10")
	takes := func(string) time.Duration { return queryTakes }
	var endpoints []lab2.Endpoint
	for i := range 2 {
		n := l.NewNode(fmt.Sprintf("s-%d", i+1), takes, nil, nil)
		n.Quiet = true
		endpoints = append(endpoints, n.Endpoint("up"))
	}
	dispatcher, addr := l.StartNode(l.NewBoard(endpoints...), memoryMB, sockets, settings)
	var all sync.WaitGroup
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { watchMemory(l, dispatcher, stop) })
	all.Go(func() { usual(l, addr) })
	time.Sleep(time.Second)
	length := shortStatement
	if l.Trouble {
		length = longStatement
	}
	l.Note("%d other clients send %d requests each at once, with statements of %d bytes", strangers,
		connections*openAtOnce, length)
	for i := range strangers * connections {
		c, err := lab2.DialNode(addr)
		l.Check(err)
		all.Go(func() { stranger(c, i, length) })
	}
	all.Wait()
	close(stop)
	watch.Wait()
	if !dispatcher.Alive() {
		l.Break("the dispatcher ended: %v", dispatcher.Err())
	}
	l.Finish()
}

// usual sends a short request every 50 ms for 4 s and records the answers.
func usual(l *lab2.Lab, addr string) {
	c, err := lab2.DialNode(addr)
	l.Check(err)
	kinds := map[string]int{}
	for n := range 80 {
		_, err := c.Send(lab2.Request{ID: fmt.Sprintf("ffff%012x", n), Class: "lookup", Limit: limit,
			Cost: queryTakes, Body: "select 1 from sales_3.t"})
		l.Check(err)
		c.Conn.SetReadDeadline(time.Now().Add(2 * limit))
		kinds[c.Read().Kind]++
		time.Sleep(50 * time.Millisecond)
	}
	l.Note("the usual client received %v", kinds)
}

// stranger fills a connection with requests, all at once, and reads what comes.
func stranger(c *lab2.Client, number, length int) {
	var reading sync.WaitGroup
	reading.Go(func() {
		c.Conn.SetReadDeadline(time.Now().Add(2 * limit))
		for range openAtOnce {
			if got := c.Read(); got.Kind == "closed" || got.Kind == "cut" {
				return
			}
		}
	})
	body := "select 1 from sales_3.t where id in (" + strings.Repeat("7,", length/2) + "7)"
	for n := range openAtOnce {
		id := fmt.Sprintf("%08x%08x", number, n)
		r := lab2.Request{ID: id, Class: "lookup", Limit: limit, Cost: queryTakes, Body: body}
		if _, err := c.Send(r); err != nil {
			break
		}
	}
	reading.Wait()
	c.Conn.Close()
}

// watchMemory records the dispatcher's memory, and checks it against its limit. Pages of the program's file
// do not count.
func watchMemory(l *lab2.Lab, p *lab2.Proc, stop chan struct{}) {
	most, noted := 0.0, time.Time{}
	for {
		now := p.ResidentMB("RssAnon")
		if now > memoryMB && most <= memoryMB {
			l.Break("the dispatcher holds %.0f MB (without its program's pages), its limit is %d MB", now,
				memoryMB)
		}
		if most = max(most, now); time.Since(noted) > 200*time.Millisecond {
			l.Note("memory: %.0f MB; the most so far: %.0f MB", now, most)
			noted = time.Now()
		}
		select {
		case <-stop:
			l.Note("memory: the most was %.0f MB", most)
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
