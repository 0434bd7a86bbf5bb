package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"cresspass/internal/daemon/lifecycle"
	"cresspass/internal/invariant"
	"cresspass/internal/netlisten"
)

// The paths of health checks.
const (
	livePath   = "/live"
	readyPath  = "/ready"
	healthPath = "/health"
)

const (
	healthHeaderTimeout  = time.Second           // to read the header of a request
	healthListenInterval = 50 * time.Millisecond // between attempts while the predecessor still listens
)

// Health is the answer to a health check, as JSON.
type Health struct {
	State       string `json:"state"`
	Ready       bool   `json:"ready"`
	LoopLagging bool   `json:"trouble"`
	Clients     int    `json:"clients"`
	OpenQueries int    `json:"open"`
	Accepted    uint64 `json:"taken"`
	Served      uint64 `json:"served"`
	Rejected    uint64 `json:"refused"`
	Failed      uint64 `json:"failed"`
	Abandoned   uint64 `json:"gone"` // queries that their clients have abandoned
	// UnrecordedWrites counts write attempts that were sent before their record was durable. After a crash
	// such a write may be sent twice.
	UnrecordedWrites uint64 `json:"unrecorded_writes,omitempty"`

	// Violations counts the violations of each invariant. Any violation is a defect.
	Violations map[invariant.Name]uint64 `json:"violations"`
	// Withheld counts, for each invariant, the actions that the invariant stopped: they were allowed when
	// they were decided, but no longer when they were due.
	Withheld map[invariant.Name]uint64 `json:"withheld"`
}

// currentHealth returns the current health. It may be called from any goroutine.
func (d *daemon) currentHealth() Health {
	stats := d.server.Stats()
	state := lifecycle.State(d.state.Load())
	violations, withheld := d.server.Invariants()
	return Health{
		State:       state.String(),
		Ready:       state == lifecycle.Ready || state == lifecycle.HandingOver,
		LoopLagging: d.server.LoopLagging(),
		Clients:     d.server.Clients(),
		OpenQueries: stats.Open,
		Accepted:    stats.Arrived,
		Served:      stats.Served,
		Rejected:    stats.Rejected,
		Failed:      stats.Failed,
		Abandoned:   stats.Abandoned,

		UnrecordedWrites: d.server.UnrecordedWrites(),

		Violations: violations,
		Withheld:   withheld,
	}
}

// healthHandler answers /live (200 while the process runs), /ready (200 while Health.Ready is true, otherwise
// 503) and /health (Health as JSON). Errors of writing an answer are ignored: its client is gone.
func (d *daemon) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(livePath, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc(readyPath, func(w http.ResponseWriter, r *http.Request) {
		if h := d.currentHealth(); !h.Ready {
			http.Error(w, h.State, http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc(healthPath, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.currentHealth())
	})
	return mux
}

// serveHealth answers health checks at an address until stop is called. During a handover the predecessor
// still listens there: with retryListen, serveHealth retries in the background until the address is free.
func (d *daemon) serveHealth(addr string, retryListen bool) (stop func(), err error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil && !retryListen {
		if ln, err = netlisten.Open(addr); err != nil {
			return nil, err
		}
	}
	s := &http.Server{Handler: d.healthHandler(), ReadHeaderTimeout: healthHeaderTimeout}
	ended := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(ended)
		for ln == nil {
			select {
			case <-stopping:
				return
			case <-time.After(healthListenInterval):
				ln, _ = net.Listen("tcp", addr) // fails while the predecessor listens; retried
			}
		}
		err := s.Serve(netlisten.ResilientListener{Listener: ln})
		if !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("health checks not served", "error", err)
		}
	}()
	return func() {
		close(stopping)
		_ = s.Close() // the process is about to exit
		<-ended
	}, nil
}

// FetchHealth requests the health of the daemon whose health checks are served at addr, as host:port.
func FetchHealth(ctx context.Context, addr string) (h Health, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+healthPath, nil)
	if err != nil {
		return h, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return h, err
	}
	defer resp.Body.Close()
	return h, json.NewDecoder(resp.Body).Decode(&h)
}
