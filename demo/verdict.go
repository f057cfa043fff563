package demo

import "strings"

// verdict classifies the result of one attempt for its caller.
type verdict int

const (
	verdictComplete verdict = iota
	verdictIncomplete
	verdictWrong
	verdictNotRun
	verdictUnknown
	verdictFailed
	// verdictCutByKill: the connection was closed because the instance was killed.
	verdictCutByKill
	// verdictNotReached: no instance could be reached, nothing was sent.
	verdictNotReached
	// verdictHungUp: the caller closed the connection itself.
	verdictHungUp
	// verdictStopped: the caller stopped reading, and the answer ended before it was complete.
	verdictStopped
)

// String returns the verdict's name in traces.
func (v verdict) String() string {
	return [...]string{"complete", "incomplete", "wrong", "not run", "unknown", "failed", "cut by kill", "not reached", "hung up", "stopped reading"}[v]
}

// classify derives the verdict from the answer alone, without the endpoints' counts.
func classify(a *answer, c *call, checkText bool) verdict {
	if checkText && a.status == 200 && !strings.HasPrefix(c.want, a.text) {
		return verdictWrong
	}
	switch a.ending {
	case endComplete:
		if checkText && a.text != c.want {
			return verdictIncomplete
		}
		return verdictComplete
	case endError:
		return classifyError(a)
	case endNotConnected:
		return verdictNotReached
	}
	return verdictIncomplete
}

// classifyError distinguishes refusals from other errors. Only the outcome header states that a
// request did not run; a status code alone does not.
func classifyError(a *answer) verdict {
	switch {
	case a.outcome == outcomeUnknown || a.errorCode == codeUnknown:
		return verdictUnknown
	case a.outcome == outcomeNotRun && a.status != 200:
		return verdictNotRun
	}
	return verdictFailed
}
