package platform

import (
	"errors"
	"net"
	"time"

	"cresspass"
	"cresspass/internal/protocol/nodehttp"
)

// healthCheckTimeout is how long a compute node may take to answer a health check.
const healthCheckTimeout = 350 * time.Millisecond

// checkHealth makes a health check of a compute node and posts the result. If the settings have load report
// fields, the check also asks for a load report. It runs in its own goroutine.
func (s *service) checkHealth(engine cresspass.EngineID, addr string) {
	result := cresspass.Event{Type: cresspass.HealthCheckDone, Engine: engine,
		Outcome: cresspass.OutcomeConnectFailed}
	conn, begun, err := s.healthCheckConn(engine, addr)
	if err == nil {
		s.callHealthCheck(conn, &result)
	}
	result.Elapsed = time.Since(begun)
	s.loop.Post(result)
}

// healthCheckConn returns a connection for a health check, and the time at which that was last requested. It
// waits for a descriptor as long as the service runs: a lack of descriptors is not a fault of the compute
// node, which would otherwise be ejected.
func (s *service) healthCheckConn(engine cresspass.EngineID, addr string) (*nodeConn, time.Time, error) {
	for {
		begun := time.Now()
		conn, err := s.pool.getWithRetry(s.watcher.ctx,
			connRequest{engine: engine, addr: addr, urgent: true, dueAt: begun,
				addressTaken: s.watcher.addressTaken})
		if !errors.Is(err, errNoDescriptor) || s.watcher.ctx.Err() != nil {
			return conn, begun, err
		}
	}
}

// callHealthCheck makes the call of a health check and sets the outcome and the load report in result.
func (s *service) callHealthCheck(conn *nodeConn, result *cresspass.Event) {
	path := "/ping"
	if len(s.reportFields) > 0 {
		path = "/load"
	}
	response, err := conn.roundTrip(healthCheckTimeout, "GET", path, nil)
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		result.Outcome = cresspass.OutcomeTimedOut
	case err != nil:
		result.Outcome = cresspass.OutcomeConnectionReset
	case response.Status == 200:
		result.Outcome = cresspass.OutcomeOK
		report := response.Header[nodehttp.HeaderLoadReport]
		result.LoadReport, result.HasLoadReport = parseLoadReport(report, s.reportFields)
	default:
		result.Outcome = cresspass.OutcomeFailed
	}
	s.pool.put(conn, err == nil && !response.Close)
}
