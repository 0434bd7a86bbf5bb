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

// This file applies the dispatcher's own limits. The limiter of package overload decides what is admitted;
// this file guards it with overloadLock.

const (
	// reservedDescriptors is the number of file descriptors that clients cannot use. They are kept for engine
	// connections, the engine list and the log.
	reservedDescriptors = 64
	// otherDescriptors is an upper bound on the open files that are not connections: listeners, the state
	// folder, the log.
	otherDescriptors = 16
)

// overloadLimits returns the limits of the settings and of the process.
func overloadLimits(cfg *config.Config) overload.Limits {
	var quotas map[string]float64
	if cfg.Flight.Listen != "" { // otherwise the only frontend may use everything
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

// openFileLimit returns the maximum number of files that the process may have open, 0 if it is not known or
// unlimited.
func openFileLimit() int {
	limits, err := os.ReadFile("/proc/self/limits")
	if err != nil {
		return 0
	}
	return parseOpenFileLimit(limits)
}

// parseOpenFileLimit returns the soft limit of open files from the text of /proc/PID/limits (proc(5)). It
// returns 0 if the text has no such limit or the limit is "unlimited".
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

// admitQuery counts a query towards the limits until releaseQuery. If the query is over a limit, it returns
// the reason and false.
func (s *Server) admitQuery(q *query) (reason string, ok bool) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	reason, q.admitted = s.overloadLimiter.AcquireQuery(q.Frontend)
	return reason, q.admitted
}

// releaseQuery reverses one successful admitQuery.
func (s *Server) releaseQuery(q *query) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadLimiter.ReleaseQuery(q.Frontend)
}

// admitUser counts one more connection of a user until releaseUser. If the connection is over a limit, it
// returns the reason and false.
func (s *Server) admitUser(user string) (reason string, ok bool) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	engineConnections, _ := s.pool.ConnectionCounts()
	return s.overloadLimiter.AcquireUserConnection(user, s.Clients()+engineConnections+otherDescriptors)
}

// releaseUser reverses one successful admitUser.
func (s *Server) releaseUser(user string) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadLimiter.ReleaseUserConnection(user)
}

// acquireConnection counts one more connection to a frontend until releaseConnection. It returns false if the
// connection is over a limit.
func (s *Server) acquireConnection(frontend string) bool {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	return s.overloadLimiter.AcquireConnection(frontend)
}

// releaseConnection reverses one successful acquireConnection.
func (s *Server) releaseConnection(frontend string) {
	s.overloadLock.Lock()
	defer s.overloadLock.Unlock()
	s.overloadLimiter.ReleaseConnection(frontend)
}

// LoopLagging reports whether the event loop is too slow for the load.
func (s *Server) LoopLagging() bool { return s.loopLagging.Load() }
