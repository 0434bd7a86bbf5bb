//go:build faults

package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// This file is the faulty form of the system's calls, for the fault soak. It is in no other build.

// faultsEvery is the pace at which the file of faults is read again.
const faultsEvery = 20 * time.Millisecond

// faults is what the file named by CRESSPASS_FAULTS holds.
type faults struct {
	WallStepMS int64   `json:"wall_step_ms"` // added to the wall clock
	Share      float64 `json:"share"`        // of calls that fail
	DialMostMS int64   `json:"dial_most_ms"` // that a connection comes up late; a third of them do
}

var present atomic.Pointer[faults]

func init() {
	present.Store(&faults{})
	if path := os.Getenv("CRESSPASS_FAULTS"); path != "" {
		newSystem = faultySystem
		go followFaults(path)
	}
}

// mutated reports whether a mutant is in force.
func mutated(m mutant) bool { return os.Getenv("CRESSPASS_MUTANT") == string(m) }

// followFaults reads the file again and again.
func followFaults(path string) {
	for ; ; time.Sleep(faultsEvery) {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		f := &faults{}
		if json.Unmarshal(data, f) == nil {
			present.Store(f)
		}
	}
}

// fails draws whether a call fails, and how.
func fails(errnos ...syscall.Errno) error {
	if rand.Float64() >= present.Load().Share {
		return nil
	}
	return errnos[rand.IntN(len(errnos))]
}

// dialsLate waits, as long as a connection that comes up late does, and at most as long as its maker waits.
func dialsLate(ctx context.Context, timeout time.Duration) error {
	most := present.Load().DialMostMS
	if most <= 0 || rand.IntN(3) > 0 {
		return nil
	}
	late := time.Duration(rand.Int64N(most)) * time.Millisecond
	sleep(ctx, min(late, timeout))
	if late >= timeout || ctx.Err() != nil {
		return os.ErrDeadlineExceeded
	}
	return nil
}

func faultySystem() *system {
	real := realSystem()
	return &system{
		dial: func(ctx context.Context, timeout time.Duration, addr string) (net.Conn, error) {
			if err := fails(syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH,
				syscall.ENFILE); err != nil {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
			}
			if err := dialsLate(ctx, timeout); err != nil {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
			}
			return real.dial(ctx, timeout, addr)
		},
		listen: func(addr string) (net.Listener, error) {
			if err := fails(syscall.ENOBUFS, syscall.ENFILE, syscall.EADDRINUSE); err != nil {
				return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", err)}
			}
			return real.listen(addr)
		},
		accept: func(ln *net.TCPListener) (*net.TCPConn, error) {
			if err := fails(syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENFILE,
				syscall.ENETDOWN); err != nil {
				return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
			}
			return real.accept(ln)
		},
		peek: func(fd uintptr) (int, error) {
			if err := fails(syscall.EINTR, syscall.ENOBUFS); err != nil {
				return -1, err
			}
			return real.peek(fd)
		},
		wall: func() time.Time {
			return time.Now().Add(time.Duration(present.Load().WallStepMS) * time.Millisecond)
		},
	}
}
