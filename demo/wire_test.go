package demo

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"time"
)

// chunked encodes a body with chunked transfer encoding, with or without the last chunk.
func chunked(body string, complete bool) string {
	text := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	if complete {
		text += "0\r\n\r\n"
	}
	return text
}

// A stream can end in many ways. A caller that does not distinguish them would take a truncated
// answer for a complete one.
func TestEndingsAreDistinguished(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	piece := func(text string) string { return `data: {"choices":[{"text":"` + text + `"}]}` + "\n\n" }
	const failed = "event: error\ndata: {\"error\":{\"message\":\"m\",\"code\":\"broken\"}}\n\n"
	const lost = "data: {\"error\":{\"code\":\"unknown_outcome\"}}\n\n"
	const done = "data: [DONE]\n\n"
	for name, c := range map[string]struct {
		wire string
		want verdict
	}{
		"complete":       {head + chunked(piece("a ")+piece("b ")+done, true), verdictComplete},
		"short":          {head + chunked(piece("a "), true), verdictIncomplete},
		"few tokens":     {head + chunked(piece("a ")+done, true), verdictIncomplete},
		"cut":            {head + chunked(piece("a "), false), verdictIncomplete},
		"explicit error": {head + chunked(piece("a ")+failed, true), verdictFailed},
		"unknown":        {head + chunked(lost, true), verdictUnknown},
		"other text":     {head + chunked(piece("x ")+failed, true), verdictWrong},
		"twice":          {head + chunked(piece("a ")+piece("a ")+done, true), verdictWrong},
		"nothing":        {"", verdictIncomplete},
		"not run":        {"HTTP/1.1 503 S\r\nX-Sardinedock-Outcome: not-run\r\nContent-Length: 2\r\n\r\n{}", verdictNotRun},
		"bare 503":       {"HTTP/1.1 503 S\r\nContent-Length: 2\r\n\r\n{}", verdictFailed},
		"cut refusal":    {"HTTP/1.1 503 S\r\nX-Sardinedock-Outcome: not-run\r\nContent-Length: 9\r\n\r\n{}", verdictIncomplete},
	} {
		sent := call{path: "/v1/completions", stream: true, want: "a b "}
		// A caller that stops reading in between gets the same answer.
		for _, stop := range []readingStop{{}, {after: 2, pause: time.Millisecond}} {
			sent.stop = stop
			a := readAnswer(bufio.NewReader(strings.NewReader(c.wire)), &sent)
			if got := classify(&a, &sent, true); got != c.want {
				t.Errorf("%s: verdict %d, want %d", name, got, c.want)
			}
			if want := stop.pause > 0 && c.wire != ""; a.stopped != want {
				t.Errorf("%s: stopped reading %v, want %v", name, a.stopped, want)
			}
		}
	}
}
