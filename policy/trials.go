package policy

import (
	"bytes"
	"slices"
	"time"
)

// maxTrials bounds the trials that are remembered. When it is reached, further ones are not counted.
const maxTrials = 4096

// Trial is one run of a request that is suspected of crashing endpoints.
type Trial struct {
	// ID is unique over all instances.
	ID uint64
	// Content is the request's fingerprint.
	Content [16]byte
	// Parts are the suspected ones among the shared parts of its prompt.
	Parts [][16]byte
	// Endpoint runs the request; empty until one is chosen.
	Endpoint string
	// Until is when the trial ends at the latest.
	Until time.Time
}

// Trials are the runs of suspected requests, of this and all other instances.
//
// Several copies of a request that crashes endpoints, run at the same time, take down an endpoint
// each. Two suspects on one endpoint that crashes leave open which of them was the cause.
type Trials struct {
	byID map[uint64]Trial
}

// NewTrials returns an empty set.
func NewTrials() *Trials { return &Trials{byID: map[uint64]Trial{}} }

// Put adds or replaces a trial.
func (t *Trials) Put(trial Trial) {
	if _, known := t.byID[trial.ID]; known || len(t.byID) < maxTrials {
		t.byID[trial.ID] = trial
	}
}

// End removes a trial.
func (t *Trials) End(id uint64) { delete(t.byID, id) }

// Running reports whether a request with this content, or one of these parts, is running as a suspect.
func (t *Trials) Running(now time.Time, content [16]byte, parts [][16]byte) bool {
	for _, trial := range t.byID {
		if (trial.Content == content || intersect(trial.Parts, parts)) && now.Before(trial.Until) {
			return true
		}
	}
	return false
}

// intersect reports whether two short lists have a fingerprint in common.
func intersect(a, b [][16]byte) bool {
	return slices.ContainsFunc(a, func(f [16]byte) bool { return slices.Contains(b, f) })
}

// Occupied returns the sorted endpoints that run suspects with other content.
func (t *Trials) Occupied(now time.Time, content [16]byte) []string {
	var list []string
	for _, trial := range t.byID {
		if trial.Content != content && trial.Endpoint != "" && now.Before(trial.Until) {
			list = append(list, trial.Endpoint)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Alone reports whether no suspect with other content runs on the trial's endpoint.
func (t *Trials) Alone(now time.Time, trial Trial) bool {
	return !slices.Contains(t.Occupied(now, trial.Content), trial.Endpoint)
}

// Yields reports whether a trial has to give way to that of another suspect at its endpoint, or with one of
// its parts. Of several that were announced at the same time, the one with the lowest content stays.
func (t *Trials) Yields(now time.Time, trial Trial) bool {
	for _, other := range t.byID {
		conflict := other.Endpoint == trial.Endpoint || other.Endpoint != "" && intersect(other.Parts, trial.Parts)
		if conflict && now.Before(other.Until) && bytes.Compare(other.Content[:], trial.Content[:]) < 0 {
			return true
		}
	}
	return false
}

// Tick removes trials that have ended.
func (t *Trials) Tick(now time.Time) {
	for id, trial := range t.byID {
		if !now.Before(trial.Until) {
			delete(t.byID, id)
		}
	}
}
