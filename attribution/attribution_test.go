package attribution_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinedock/sardinedock/attribution"
	_ "github.com/sardinedock/sardinedock/internal/rapidseed"
)

func TestJudge(t *testing.T) {
	own := func(signed, notRun bool) attribution.Response {
		return attribution.Response{ID: "a", Signed: signed, NotRun: notRun}
	}
	for name, c := range map[string]struct {
		response attribution.Response
		on       attribution.Circumstances
		want     attribution.Verdict
	}{
		"result":                               {own(true, false), attribution.Circumstances{Earlier: 3}, attribution.Result},
		"rejection on a kept connection":       {own(false, true), attribution.Circumstances{Earlier: 3}, attribution.NotRun},
		"rejection before a long body is sent": {own(false, true), attribution.Circumstances{Earlier: 3, Early: true}, attribution.NotRun},
		"rejection after an earlier send":      {own(false, true), attribution.Circumstances{Earlier: 3, Repeated: true}, attribution.Ambiguous},
		"rejection of another request":         {attribution.Response{ID: "b", NotRun: true}, attribution.Circumstances{Earlier: 3}, attribution.OtherRequest},
		"unnamed on a new connection":          {attribution.Response{NotRun: true}, attribution.Circumstances{}, attribution.NotRun},
		"unnamed before the request is sent":   {attribution.Response{NotRun: true}, attribution.Circumstances{Early: true}, attribution.Ambiguous},
		"unnamed on a kept connection":         {attribution.Response{NotRun: true}, attribution.Circumstances{Earlier: 1}, attribution.Ambiguous},
		"neither signed nor a rejection":       {own(false, false), attribution.Circumstances{}, attribution.Ambiguous},
		"signed result that names no request":  {attribution.Response{Signed: true}, attribution.Circumstances{}, attribution.OtherRequest},
	} {
		if got := attribution.Judge("a", c.response, c.on); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// modelConnection is a connection between the model's router and an endpoint.
type modelConnection struct {
	history attribution.History
	// written are all responses that the endpoint has written on it.
	written []attribution.Response
	closed  bool
}

// sequence plays sends of requests that must run once at most, to endpoints that write extra copies of earlier responses of
// a connection, with and without their IDs, before the response to a send.
type sequence struct {
	// pick returns a number below n.
	pick  func(n int) int
	conns []*modelConnection
}

// connection returns an open connection, which may have carried the request, or a new one.
func (s *sequence) connection() *modelConnection {
	var usable []*modelConnection
	for _, c := range s.conns {
		if !c.closed && !c.history.Full() {
			usable = append(usable, c)
		}
	}
	if k := s.pick(len(usable) + 1); k < len(usable) {
		return usable[k]
	}
	c := &modelConnection{}
	s.conns = append(s.conns, c)
	return c
}

// send sends the request once. It returns what the router takes from the responses, and whether the request ran.
func (s *sequence) send(id string) (v attribution.Verdict, ran bool) {
	c := s.connection()
	on := c.history.Circumstances(id)
	c.history.Add(id)
	var responses []attribution.Response
	for n := s.pick(maxExtra + 1); n > 0 && len(c.written) > 0; n-- {
		extra := c.written[s.pick(len(c.written))]
		if extra.NotRun && s.pick(2) == 0 {
			extra.ID = ""
		}
		responses = append(responses, extra)
	}
	own := attribution.Response{ID: id}
	switch s.pick(4) {
	case 0:
		ran, own.Signed = true, true
	case 1:
		// The connection is reset; the request may have run.
		ran = s.pick(2) == 0
		own = attribution.Response{}
	default:
		own.NotRun = true
		if s.pick(4) == 0 {
			own.ID = ""
		}
	}
	if own != (attribution.Response{}) {
		responses = append(responses, own)
		c.written = append(c.written, own)
	}
	for _, r := range responses {
		if v = attribution.Judge(id, r, on); v != attribution.OtherRequest {
			c.closed = v == attribution.Ambiguous
			return v, ran
		}
	}
	c.closed = true
	return attribution.Ambiguous, ran
}

// play sends requests until each has a result, has been rejected too often, or may have run. It returns what is wrong.
func (s *sequence) play(requests int) error {
	const maxSends = 4
	for k := range requests {
		id, runs, refused := fmt.Sprint(k), 0, false
		for n := range maxSends {
			v, ran := s.send(id)
			if ran {
				runs++
			}
			if v == attribution.Result && !ran {
				return fmt.Errorf("request %s got a result and did not run", id)
			}
			if refused = v == attribution.NotRun && n == maxSends-1; v != attribution.NotRun {
				break
			}
		}
		if runs > 1 || refused && runs > 0 {
			return fmt.Errorf("request %s ran %d times, refused: %v", id, runs, refused)
		}
	}
	return nil
}

const (
	sequenceRequests = 12
	// maxExtra bounds the extra responses before one response.
	maxExtra = 3
)

// Guards against a rejection that is attributed to a send of a request which runs: the request is then sent again, or its
// caller is promised that it has not run.
func TestNoSequenceOfExtraResponsesRunsARequestTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sequence{pick: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }}
		if err := s.play(sequenceRequests); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzSequence plays sequences whose choices are the input's bytes.
func FuzzSequence(f *testing.F) {
	f.Add([]byte{})
	f.Add(slices.Repeat([]byte{1, 0, 2, 0, 3}, 30))
	f.Fuzz(func(t *testing.T, choices []byte) {
		s := &sequence{pick: func(n int) int {
			if len(choices) == 0 {
				return 0
			}
			choice := int(choices[0])
			choices = choices[1:]
			return choice % n
		}}
		if err := s.play(sequenceRequests); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a connection that is used for so long that what it has carried can't be known any more.
func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	var h attribution.History
	n := 0
	for ; !h.Full() && n < 1<<16; n++ {
		h.Add(fmt.Sprint(n))
	}
	if !h.Full() || h.Requests() != n || !h.Carried("0") || !h.Carried(fmt.Sprint(n-1)) || h.Carried("other") || h.Carried("") {
		t.Errorf("%d requests, full: %v", h.Requests(), h.Full())
	}
}
