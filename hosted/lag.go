package hosted

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/sardinedock/sardinedock/clock"
	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/overload"
)

// lagMeter measures how long what the kernel reports, such as bytes on a connection, waits until this process
// handles it. Timers don't show that: the runtime runs them before what waits.
type lagMeter struct {
	r, w *os.File

	mu sync.Mutex
	// sentAt is when the byte was written that has not been read; zero if there is none.
	sentAt time.Time
	most   time.Duration
}

func newLagMeter() (*lagMeter, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "raise the limit of file descriptors", "make a pipe")
	}
	return &lagMeter{r: r, w: w}, nil
}

// receive reads bytes until the meter is closed.
func (m *lagMeter) receive() {
	var buf [1]byte
	for {
		if _, err := m.r.Read(buf[:]); err != nil {
			return
		}
		m.mu.Lock()
		m.most = max(m.most, time.Since(m.sentAt))
		m.sentAt = time.Time{}
		m.mu.Unlock()
	}
}

// send writes a byte unless the last one has not been read.
func (m *lagMeter) send() {
	m.mu.Lock()
	pending := !m.sentAt.IsZero()
	if !pending {
		m.sentAt = time.Now()
	}
	m.mu.Unlock()
	if !pending {
		// The pipe is empty, so this can't block. An error means that the meter is closed.
		_, _ = m.w.Write([]byte{0})
	}
}

// lag returns the greatest lag since the last call.
func (m *lagMeter) lag() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := m.most
	if !m.sentAt.IsZero() {
		most = max(most, time.Since(m.sentAt))
	}
	m.most = 0
	return most
}

func (m *lagMeter) close() {
	_ = m.w.Close()
	_ = m.r.Close()
}

// lagSample is the time between two measurements of the lag.
const lagSample = overload.Interval / 4

// limitsConnections is cleared in tests: many instances share a process there, on a machine that may be busy.
var limitsConnections = true

// watchLag measures the lag, for the gate of new connections, until ctx is done.
func (i *Instance) watchLag(ctx context.Context) {
	if !limitsConnections {
		return
	}
	meter, err := newLagMeter()
	if err != nil {
		log.WithError(err).Error("connections are not limited, whatever the load")
		return
	}
	defer meter.close()
	go meter.receive()
	observed := time.Now()
	for clock.Sleep(ctx, lagSample) == nil {
		meter.send()
		now := time.Now()
		if now.Sub(observed) < overload.Interval {
			continue
		}
		observed = now
		s, changed := i.gate.Observe(now, meter.lag())
		if changed {
			log.WithField("limited", s.Limited).WithField("rate", int64(s.Rate)).WithField("lag_ms", s.LagMs).WithField("closed", s.Closed).
				Info("new connections limited for lack of processor time")
		}
	}
}
