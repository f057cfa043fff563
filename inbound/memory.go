package inbound

import (
	"bytes"
	"errors"
	"time"

	"github.com/sardinedock/sardinedock/bufferlimit"
)

const (
	// lineBytes is what the HTTP library allocates for a line of a head besides its text. It is counted if there are more than usualLines.
	lineBytes, usualLines = 192, 64
	// busyPause is the pause before memory that others have to release first is asked for again, maxBusy how often it is asked for.
	busyPause, maxBusy = 2 * time.Millisecond, 100
)

// memory is what counts in the sum of all requests. Its zero value is ready to use.
type memory struct {
	collection bufferlimit.Collection
	// begun is set while something is counted.
	begun bool
}

// release states that nothing of it is used any more.
func (m *memory) release() {
	if m.begun {
		m.collection.End()
		m.begun = false
	}
}

// complete has the request not given up any more. It returns false if it was before.
func (m *memory) complete() bool { return !m.begun || m.collection.Complete() == nil }

func (m *memory) full() bool { return m.begun && m.collection.Full() }

// shrink states that n bytes of it are not used any more.
func (m *memory) shrink(n int) {
	if m.begun && n > 0 {
		m.collection.Shrink(int64(n))
	}
}

// count adds n bytes to the sum of all requests before they are allocated.
func (r *Reader) count(n int, m *memory) error {
	if r.cfg.Memory == nil {
		return nil
	}
	if !m.begun {
		r.cfg.Memory.BeginIn(&m.collection, r.stop)
		m.begun = true
	}
	for try := 1; ; try++ {
		err := m.collection.Grow(time.Now(), int64(n))
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, bufferlimit.ErrIntakeBusy):
			return r.interruption()
		case try == maxBusy:
			return ErrNoMemory
		}
		time.Sleep(busyPause)
	}
}

// countLines counts the memory of the parsed head, until Release, if it has many lines.
func (r *Reader) countLines() error {
	lines := bytes.Count(r.unread()[:r.headLeft], []byte("\n"))
	if lines <= usualLines {
		return nil
	}
	return r.count(lines*lineBytes, &r.bodyMemory)
}
