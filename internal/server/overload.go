package server

import (
	"bytes"
	"os"
	"strconv"

	"cresspass/internal/config"
	"cresspass/internal/frontend/flightsql"
	"cresspass/internal/frontend/pgfrontend"
	"cresspass/internal/overload"
)

// The dispatcher's own limits: this file is the lock around the limiter of package overload, which decides.

const (
	// reservedDescriptors are kept free of clients, for engines, the engine list and the log.
	reservedDescriptors = 64
	// otherDescriptors is a bound on the open files that are no connection: listeners, the state, the log.
	otherDescriptors = 16
)

// overloadLimits returns the limits of the settings.
func overloadLimits(cfg *config.Config) overload.Limits {
	var quotas map[string]float64
	if cfg.Flight.Listen != "" { // else there is one frontend, which has all
		quotas = map[string]float64{
			pgfrontend.Name: cfg.FrontQuotas.PostgreSQL,
			flightsql.Name:  cfg.FrontQuotas.Flight,
		}
	}
	return overload.Limits{
		OpenQueries:         cfg.MaxOpenQueries,
		BufferedBytes:       cfg.MaxBufferedBytes,
		Connections:         cfg.MaxClients,
		FrontQuotas:         quotas,
		ConnectionsPerUser:  cfg.MaxConnectionsPerUser,
		LoopLag:             cfg.LagLimit,
		FileDescriptors:     openFileLimit(),
		ReservedDescriptors: reservedDescriptors,
	}
}

// openFileLimit is how many files the process may have open; 0: not known.
func openFileLimit() int {
	limits, err := os.ReadFile("/proc/self/limits")
	if err != nil {
		return 0
	}
	return parseOpenFileLimit(limits)
}

// parseOpenFileLimit returns the soft limit of open files from the text of a process's limits (proc(5)); 0:
// it has none, or it is unlimited.
func parseOpenFileLimit(limits []byte) int {
	for _, line := range bytes.Split(limits, []byte("\n")) {
		columns, found := bytes.CutPrefix(line, []byte("Max open files"))
		if !found {
			continue
		}
		if fields := bytes.Fields(columns); len(fields) > 0 {
			n, err := strconv.Atoi(string(fields[0]))
			if err != nil {
				return 0 // "unlimited"
			}
			return n
		}
	}
	return 0
}

// admitQuery admits a query, until releaseQuery, or says why not.
func (s *Server) admitQuery(q *query) (reason string, ok bool) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	reason, q.admitted = s.overloadLimiter.AcquireQuery(q.Frontend)
	return reason, q.admitted
}

// releaseQuery takes back one admitQuery.
func (s *Server) releaseQuery(q *query) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadLimiter.ReleaseQuery(q.Frontend)
}

// admitUser admits one more connection of a user, until releaseUser, or says why not.
func (s *Server) admitUser(user string) (reason string, ok bool) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	engineConnections, _ := s.pool.ConnectionCounts()
	return s.overloadLimiter.AcquireUserConnection(user, s.Clients()+engineConnections+otherDescriptors)
}

// releaseUser takes back one admitUser.
func (s *Server) releaseUser(user string) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadLimiter.ReleaseUserConnection(user)
}

// acquireConnection admits one more connection to a frontend, until releaseConnection.
func (s *Server) acquireConnection(frontend string) bool {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	return s.overloadLimiter.AcquireConnection(frontend)
}

// releaseConnection takes back one acquireConnection.
func (s *Server) releaseConnection(frontend string) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadLimiter.ReleaseConnection(frontend)
}

// LoopLagging reports whether the event loop is too slow for the load.
func (s *Server) LoopLagging() bool { return s.loopLagging.Load() }
