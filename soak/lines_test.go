package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// logDelay is how long after the end of a request its log line may be written: lines are
// buffered for a tenth of a second.
const logDelay = time.Second

// checkLogLines checks that each request that ran or was answered, even by a refusal, has a line
// in the log of its instance, since the engineer on call has only the id that the caller reports.
// Requests around a fault of their instance are exempt: a process that was killed, for example,
// has not logged what it was serving.
func (s *soak) checkLogLines(stableSince time.Time) {
	logged := map[string]bool{}
	for _, i := range s.instances {
		readRequestIDs(filepath.Join(i.dir, i.name+".log"), logged)
	}
	for _, c := range s.checker.finalCalls() {
		if c.runs == 0 && !c.answered || c.sentAt.After(stableSince.Add(-callerTimeout)) || !s.undisturbed(c.instance, c.sentAt.Add(-stabilisationTime), c.sentAt.Add(callerTimeout+logDelay)) {
			continue
		}
		s.checker.count("line due")
		if !logged[c.id] {
			s.checker.addViolation("LINE: %s, sent at %s to front-%d, ran %d times, answered %v, and no line has its id", c.id, formatTime(c.sentAt), c.instance, c.runs, c.answered)
		}
	}
}

// readRequestIDs adds the request ids in an instance's log to logged.
func readRequestIDs(path string, logged map[string]bool) {
	f, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = f.Close() }()
	for sc := bufio.NewScanner(f); sc.Scan(); {
		var line struct{ Event, Request string }
		if json.Unmarshal(sc.Bytes(), &line) == nil && line.Event == "request" {
			logged[line.Request] = true
		}
	}
}
