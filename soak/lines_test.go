package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// lineAfter is how long after its end a request's line may come: lines are gathered for a
// tenth of a second.
const lineAfter = time.Second

// judgeLines judges whether each request that has run or was answered, if only by a refusal,
// has a line in the log of its instance. On-call has only the id that a caller tells. A process that was killed has told
// nothing of what it served; that is a fault of its instance, as paused and cut ones are.
func (s *soak) judgeLines(settledAt time.Time) {
	told := map[string]bool{}
	for _, i := range s.instances {
		requestLines(filepath.Join(i.dir, i.name+".log"), told)
	}
	for _, c := range s.ledger.settled() {
		if c.runs == 0 && !c.answered || c.sentAt.After(settledAt.Add(-patience)) || !s.calm(c.instance, c.sentAt.Add(-contact), c.sentAt.Add(patience+lineAfter)) {
			continue
		}
		s.ledger.count("line due")
		if !told[c.id] {
			s.ledger.breach("LINE: %s, sent at %s to front-%d, ran %d times, answered %v, and no line has its id", c.id, stamp(c.sentAt), c.instance, c.runs, c.answered)
		}
	}
}

// requestLines adds the ids that an instance's log tells of.
func requestLines(path string, told map[string]bool) {
	f, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		var line struct{ Event, Request string }
		if json.Unmarshal(sc.Bytes(), &line) == nil && line.Event == "request" {
			told[line.Request] = true
		}
	}
}
