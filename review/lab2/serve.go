//go:build review

package lab2

import "time"

// ServeSettings are the settings of a small deployment in HCL: the classes of the code search, on engines of
// one kind. The two verbs are the addresses of the dispatcher and of the engine list.
const ServeSettings = `listen        = "%s"
default_class = "lookup"
write_class   = "write"
zone          = "a"

roster {
  eds = "%s"
}

engines {
  progress_every = "2s"
}

rules {
  drain_grace = "2s"
}

kind "std" {
  cores     = 8
  memory_mb = 4096
}

class "lookup" {
  aim         = "1.5s"
  aim_stretch = 2
  deadline    = "7.5s"
  effect      = "safe"
}

class "report" {
  aim         = "3s"
  aim_stretch = 2.5
  deadline    = "20s"
  worth       = 3
  threads     = 2
  effect      = "safe"
}

class "write" {
  aim      = "4s"
  deadline = "20s"
  worth    = 8
  effect   = "unsafe"
}
`

// StartEngine starts a stand-in engine of the project and returns its address.
func (l *Lab) StartEngine(name string) string {
	addr := l.FreeAddr()
	p := l.Start(name, nil, l.Program, "engine", "--listen", addr)
	l.AwaitLog(p, "engine "+addr, 10*time.Second)
	return addr
}

// StartRoster starts the project's stand-in of the endpoint discovery service with engines of kind std.
func (l *Lab) StartRoster(engines ...string) string {
	addr := l.FreeAddr()
	args := []string{l.Program, "roster", "--listen", addr}
	for _, engine := range engines {
		args = append(args, engine+",std,a")
	}
	l.AwaitLog(l.Start("roster", nil, args...), "roster "+addr, 10*time.Second)
	return addr
}

// StartServe starts `cresspass serve` with a settings file and waits until it has an engine list.
func (l *Lab) StartServe(name, path string) *Proc {
	p := l.Start(name, nil, l.Program, "serve", "-c", path)
	l.AwaitLog(p, "to=ready", 15*time.Second)
	return p
}
