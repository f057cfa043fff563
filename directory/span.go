package directory

import "github.com/sardinedock/sardinedock/objectapi"

// Span is a range of revisions: every change of the kind after From, up to To, was delivered by a watch of this instance
// and passed on before Span was read.
type Span struct{ From, To objectapi.Version }

// Span returns the range of revisions that this instance's watches have delivered without a gap; the zero Span before the
// first watch. Reads do not extend it, since they do not show entries that came and went.
func (f *Follower) Span() Span {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extendSpan()
	return f.span
}

// beginSpan records that a watch delivers the changes after a revision. The caller holds f.mu.
func (f *Follower) beginSpan(from objectapi.Version, w objectapi.Watch) {
	if f.span.To == 0 || from > f.span.To {
		f.span = Span{From: from, To: from}
	}
	f.progress, _ = w.(objectapi.Progress)
}

// extendSpan extends the span by what the open watch, if any, has delivered. The caller holds f.mu.
func (f *Follower) extendSpan() {
	if f.progress != nil {
		f.span.To = max(f.span.To, f.progress.Progress())
	}
}

// endSpan records that the watch has ended.
func (f *Follower) endSpan() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extendSpan()
	f.progress = nil
}
