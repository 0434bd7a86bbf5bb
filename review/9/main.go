//go:build review

// Case 9: one statement of one client ends the dispatcher, and with it every other client's requests.
package main

import (
	"fmt"
	"sync"
	"time"

	"cresspass/review/lab2"
)

const (
	clients    = 4
	interval   = 50 * time.Millisecond
	length     = 5 * time.Second
	strangerAt = 2 * time.Second
	// A lookup has a final answer by its deadline and the grace of the settings (7.5 s, 250 ms).
	answerWithin = 7750 * time.Millisecond
	// unknownSetting names a setting that no engine has. Its eight letters are two bytes long each, and three
	// in upper case.
	unknownSetting = "ɐɐɐɐɐɐɐɐ"
	plainSetting   = "aaaaaaaa" // the same without the disruption
)

func main() {
	l := lab2.New("review/9")
	roster := l.StartRoster(l.StartEngine("engine-1"), l.StartEngine("engine-2"))
	addr := l.FreeAddr()
	settings := l.WriteFile("serve.hcl", fmt.Sprintf(lab2.ServeSettings, addr, roster))
	dispatcher := l.StartServe("dispatcher", settings)
	var all sync.WaitGroup
	begun := time.Now()
	for i := range clients {
		c, err := lab2.DialPG(addr)
		l.Check(err)
		all.Go(func() { usual(l, c, i, begun) })
	}
	time.Sleep(strangerAt)
	stranger(l, addr)
	all.Wait()
	select {
	case <-dispatcher.Ended():
		l.Break("the dispatcher's process ended: %v", dispatcher.Err())
	default:
		l.Note("the dispatcher still runs")
	}
	l.Finish()
}

// usual sends lookups, one after another, and checks that each has a final answer.
func usual(l *lab2.Lab, c *lab2.PGClient, client int, begun time.Time) {
	served, refused := 0, 0
	for n := 0; time.Since(begun) < length; n++ {
		reply, err := c.Query("select 1 /*class='lookup',work_ms='5'*/", answerWithin)
		if err != nil {
			l.Break("request %d of client %d got no final answer: %v", n, client, err)
			return
		}
		if reply.Error == "" {
			served++
		} else {
			refused++
			l.Note("request %d of client %d: %v", n, client, reply)
		}
		time.Sleep(interval)
	}
	l.Note("client %d: %d requests served, %d answered with an error", client, served, refused)
}

// stranger is the other client: it sends one SET and reads the answer.
func stranger(l *lab2.Lab, addr string) {
	setting := plainSetting
	if l.Trouble {
		setting = unknownSetting
	}
	c, err := lab2.DialPG(addr)
	l.Check(err)
	text := "SET " + setting + " TO on"
	l.Note("the other client sends %q", text)
	reply, err := c.Query(text, answerWithin)
	l.Note("the other client received: %v, %v", reply, err)
}
