package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// limitedLog writes a limited number of lines a second. It is safe for concurrent use.
type limitedLog struct {
	most int

	mu      sync.Mutex
	second  time.Time
	written int
	// omitted counts the lines that were not written since the last that was.
	omitted int
}

// write writes a line unless there were too many in this second. The next line states how many were omitted.
func (l *limitedLog) write(now time.Time, f log.Fields, message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.written = now, 0
	}
	if l.written >= l.most {
		l.omitted++
		return
	}
	l.written++
	f["omitted"], l.omitted = l.omitted, 0
	log.WithFields(f).Info(message)
}
