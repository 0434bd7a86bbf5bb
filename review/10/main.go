//go:build review

// Case 10: after a restart of a killed dispatcher, loads of one key run in another order than it took them.
package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"cresspass/internal/rehearsal/testbed"
	"cresspass/internal/standin"
	"cresspass/review/lab2"
)

const (
	loads   = 8
	spacing = 15 * time.Millisecond // between two loads: they are taken in the order in which they are sent
	work    = 60                    // ms, of each load
	// The load that is out as the dispatcher is killed.
	firstWork = 1500 // ms
	killAfter = 500 * time.Millisecond
)

// loadClass is the class of the loads: keyed, dropped by all engines for 15 s, in order for each key.
const loadClass = `
state = "%s"

class "index-load" {
  aim      = "4s"
  deadline = "25s"
  worth    = 8
  threads  = 2
  effect   = "keyed"
  window   = "15s"
  in_order = true
  loads    = true
}
`

func main() {
	l := lab2.New("review/10")
	group := standin.NewDeduplicationGroup()
	var engines []*standin.Engine
	var addrs []string
	for i := range 2 {
		e, err := standin.NewEngine(standin.EngineConfig{Listen: "127.0.0.1:0", Seed: uint64(i), Group: group,
			Kind: testbed.EngineKind(8, 4096), ProgressEvery: 2 * time.Second, Window: 15 * time.Second})
		l.Check(err)
		engines, addrs = append(engines, e), append(addrs, e.Addr())
	}
	addr := l.FreeAddr()
	settings := fmt.Sprintf(lab2.ServeSettings, addr, l.StartRoster(addrs...))
	settings = strings.Replace(settings, "rules {", "rules {\n  order_rest  = \"500ms\"", 1) +
		fmt.Sprintf(loadClass, filepath.Join(l.Dir, "state"))
	path := l.WriteFile("serve.hcl", settings)

	dispatcher := l.StartServe("dispatcher", path)
	c, err := lab2.DialPG(addr)
	l.Check(err)
	l.Note("client 0 sends L0")
	l.Check(c.Send(load("L0", firstWork)))
	time.Sleep(killAfter)
	if l.Trouble {
		l.Note("SIGKILL to the dispatcher, which is started again at once")
		l.Check(dispatcher.Signal(syscall.SIGKILL))
		<-dispatcher.Ended()
		l.StartServe("dispatcher-again", path)
	}
	sendLoads(l, addr)
	judge(l, engines)
	l.Finish()
}

// load returns the statement of a load of the key.
func load(id string, workMS int) string {
	return fmt.Sprintf("insert into repo_7.files values (1) /*class='index-load',key='repo-7',id='%s',"+
		"work_ms='%d',cost_ms='%d',loads='1',tables='7'*/", id, workMS, workMS)
}

// sendLoads sends the loads L1, L2, ..., each on a connection of its own that was opened before, and waits
// for their answers.
func sendLoads(l *lab2.Lab, addr string) {
	var clients []*lab2.PGClient
	for range loads {
		c, err := lab2.DialPG(addr)
		l.Check(err)
		c.Conn.SetDeadline(time.Now().Add(30 * time.Second))
		clients = append(clients, c)
	}
	var all sync.WaitGroup
	for i, c := range clients {
		id := fmt.Sprintf("L%d", i+1)
		l.Check(c.Send(load(id, work)))
		l.Note("client %d sends %s", i+1, id)
		all.Go(func() {
			reply, err := c.ReadUntilReady()
			l.Note("%s answered: %v, %v", id, reply, err)
		})
		time.Sleep(spacing)
	}
	all.Wait()
}

// judge checks that the engines ran L1, L2, ... in this order, one at a time. Loads that were refused or
// failed are left out.
func judge(l *lab2.Lab, engines []*standin.Engine) {
	var runs []standin.Run
	for _, e := range engines {
		for _, r := range e.Runs() {
			if strings.HasPrefix(r.ID, "L") && r.ID != "L0" && r.Outcome == standin.OutcomeDone {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b standin.Run) int { return a.Begun.Compare(b.Begun) })
	for i, r := range runs {
		l.Note("engine: %s ran from %.3f to %.3f", r.ID, l.Second(r.Begun), l.Second(r.Ended))
		if i > 0 && r.ID < runs[i-1].ID {
			l.Break("%s was taken before %s and ran after it", r.ID, runs[i-1].ID)
		}
		if i > 0 && r.Begun.Before(runs[i-1].Ended) {
			l.Break("%s and %s ran at the same time", r.ID, runs[i-1].ID)
		}
	}
	if len(runs) < 2 {
		l.Fail("%d loads were run: there is no order to judge", len(runs))
	}
}
