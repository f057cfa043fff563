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

// watch streams the changes of a kind after a version, one JSON object a line.
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
	if position < s.forgotten {
		ctx.Error("version too old", fasthttp.StatusGone)
		return
	}
	s.counts.Watches++
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		s.follow(w, kind, instance, position)
		s.mu.Lock()
		s.counts.Watches--
		s.mu.Unlock()
	})
}

// follow writes changes until the reader is gone, an outage begins, or the
// position has been forgotten.
func (s *Store) follow(w *bufio.Writer, kind, instance string, position objectapi.Version) {
	// The first line is a heartbeat, so that the reader gets the header at once.
	if !heartbeat(w) {
		return
	}
	beat := time.Now()
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
		// Changes of other kinds end the wait and must not put the heartbeat
		// off, or a reader would take the watch for silent.
		left := s.cfg.Heartbeat - s.cfg.Pace.unscale(time.Since(beat))
		if left > 0 && !s.cfg.Pace.sleep(left, either(changed, s.done)) {
			continue
		}
		beat = time.Now()
		if !heartbeat(w) {
			return
		}
	}
}

func heartbeat(w *bufio.Writer) bool {
	_, _ = w.WriteString("\n")
	return w.Flush() == nil
}

// either returns the channel whose closing ends a wait. A closed store changes
// too, so that its watches look again and end.
func either(changed, done chan struct{}) <-chan struct{} {
	select {
	case <-done:
		return done
	default:
		return changed
	}
}

// since returns the changes of a kind after position, the version up to which
// it looked, and a channel that is closed at the next change of anything. It
// returns false where the watch ends.
func (s *Store) since(kind, instance string, position objectapi.Version) ([]objectapi.Object, objectapi.Version, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return nil, 0, nil, false
	default:
	}
	if position < s.forgotten || s.faults.cuts(instance) || s.faults.Outage != OutageNone {
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
