package demo

import "strings"

// verdict is what one answer comes to for its caller.
type verdict int

const (
	verdictComplete verdict = iota
	verdictIncomplete
	verdictWrong
	verdictNotRun
	verdictUnknown
	verdictFailed
	// verdictCut: the connection broke because the instance was killed.
	verdictCut
	// verdictUnsent: no instance was reached, nothing was sent.
	verdictUnsent
	// verdictHungUp: the caller closed the connection itself.
	verdictHungUp
)

// String names the verdict for traces.
func (v verdict) String() string {
	return [...]string{"complete", "incomplete", "wrong", "not run", "unknown", "failed", "cut by kill", "not reached", "hung up"}[v]
}

// judge decides from the answer alone.
func judge(a *answer, c *call, checkText bool) verdict {
	if checkText && a.status == 200 && !strings.HasPrefix(c.want, a.text) {
		return verdictWrong
	}
	switch a.ending {
	case endWhole:
		if checkText && a.text != c.want {
			return verdictIncomplete
		}
		return verdictComplete
	case endError:
		return judgeError(a)
	case endUnsent:
		return verdictUnsent
	}
	return verdictIncomplete
}

// judgeError tells refusals from errors. Only the outcome header's word counts
// as "not run": a status by itself says nothing of that.
func judgeError(a *answer) verdict {
	switch {
	case a.outcome == outcomeUnknown || a.errorCode == codeUnknown:
		return verdictUnknown
	case a.outcome == outcomeNotRun && a.status != 200:
		return verdictNotRun
	}
	return verdictFailed
}
