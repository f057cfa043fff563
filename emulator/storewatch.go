package emulator

import (
	"bufio"
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinedock/sardinedock/objectapi"
)

// watch streams the changes of a kind after a version, one JSON object per line.
func (s *Store) watch(ctx *fasthttp.RequestCtx, kind string) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		ctx.Error("from is not a version", fasthttp.StatusBadRequest)
		return
	}
	position := objectapi.Version(from)
	instance := string(ctx.Request.Header.Peek(headerInstance))
	s.mu.Lock()
	defer s.mu.Unlock()
	if position < s.compacted {
		ctx.Error("version too old", fasthttp.StatusGone)
		return
	}
	s.counts.Watches++
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		s.streamChanges(w, kind, instance, position)
		s.mu.Lock()
		s.counts.Watches--
		s.mu.Unlock()
	})
}

// streamChanges writes changes until the reader disconnects, an outage begins, or the position is
// older than the retained history.
func (s *Store) streamChanges(w *bufio.Writer, kind, instance string, position objectapi.Version) {
	// The first line is a heartbeat, so that the reader gets the header at once.
	if !heartbeat(w) {
		return
	}
	lastBeat := time.Now()
	for {
		events, seen, changed, ok := s.since(kind, instance, position)
		if !ok {
			return
		}
		for _, obj := range events {
			line, err := json.Marshal(obj)
			if err != nil {
				return
			}
			_, _ = w.Write(append(line, '\n'))
		}
		position = max(position, seen)
		if len(events) > 0 && w.Flush() != nil {
			return
		}
		// Changes of other kinds end the wait, but must not postpone the heartbeat, or the reader
		// would take the watch for dead.
		left := s.cfg.Heartbeat - s.cfg.Pace.unscale(time.Since(lastBeat))
		if left > 0 && !s.cfg.Pace.sleep(left, changedOrDone(changed, s.done)) {
			continue
		}
		lastBeat = time.Now()
		if !heartbeat(w) {
			return
		}
	}
}

// heartbeat writes an empty line. It reports whether the write succeeded.
func heartbeat(w *bufio.Writer) bool {
	_, _ = w.WriteString("\n")
	return w.Flush() == nil
}

// changedOrDone returns the channel to wait on: done if the store is closed already, so that the
// watch checks again at once and ends, otherwise changed.
func changedOrDone(changed, done chan struct{}) <-chan struct{} {
	select {
	case <-done:
		return done
	default:
		return changed
	}
}

// since returns the changes of a kind after position, the version up to which it looked, and a
// channel that is closed at the next change of any kind. It returns false if the watch has to end.
func (s *Store) since(kind, instance string, position objectapi.Version) ([]objectapi.Object, objectapi.Version, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return nil, 0, nil, false
	default:
	}
	if position < s.compacted || s.faults.isCut(instance) || s.faults.Outage != OutageNone {
		return nil, 0, nil, false
	}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > position })
	var events []objectapi.Object
	for _, obj := range s.history[i:] {
		if obj.Kind == kind {
			events = append(events, obj)
		}
	}
	return events, s.version, s.changed, true
}
