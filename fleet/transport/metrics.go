package transport

import (
	"net"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var (
	refusedFleet       = metrics.GetOrCreateCounter(`sardinedock_fleet_refused_total{reason="fleet"}`)
	refusedCertificate = metrics.GetOrCreateCounter(`sardinedock_fleet_refused_total{reason="certificate"}`)
	refusedConnections = metrics.GetOrCreateCounter(`sardinedock_fleet_refused_total{reason="connections"}`)
	keyReloadFailures  = metrics.GetOrCreateCounter(`sardinedock_fleet_key_reload_failures_total`)
	dials              = metrics.GetOrCreateCounter(`sardinedock_fleet_dials_total`)
	staleConnections   = metrics.GetOrCreateCounter(`sardinedock_fleet_stale_connections_total`)
	callFailures       = metrics.GetOrCreateCounter(`sardinedock_fleet_call_failures_total`)
	callsRefused       = metrics.GetOrCreateCounter(`sardinedock_fleet_calls_over_bound_total`)
	sentBytes          = metrics.GetOrCreateCounter(`sardinedock_fleet_sent_bytes_total`)
	receivedBytes      = metrics.GetOrCreateCounter(`sardinedock_fleet_received_bytes_total`)
)

// Traffic counts what an instance sends to its peers and receives from them. Sent
// and Received are bytes of TCP payload: TLS is included, packet headers are not.
type Traffic struct {
	Sent, Received     atomic.Uint64
	Writes, Reads      atomic.Uint64
	Dials, Accepts     atomic.Uint64
	Calls, CallsFailed atomic.Uint64
}

// countedConn counts the bytes, reads and writes of one connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(uint64(n))
	c.traffic.Reads.Add(1)
	receivedBytes.Add(n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(uint64(n))
	c.traffic.Writes.Add(1)
	sentBytes.Add(n)
	return n, err
}
