package endpoint_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// testMalformed has each reader read each answer, on a new connection and on a kept one.
func testMalformed(t *testing.T, answers []platformtest.Answer) {
	var answer atomic.Pointer[string]
	whole := emptyObject
	e, err := platformtest.NewEndpoint("e", func(x *platformtest.Exchange) bool {
		text := answer.Load()
		x.Write("%s", *text)
		return text == &whole
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	for n, a := range answers {
		for name, calls := range readers {
			by := newCaller(e.Address(), 10*time.Second)
			if kept := n%2 == 1; kept {
				answer.Store(&whole)
				if err := calls[0](t.Context(), by); err != nil {
					t.Errorf("%s, %s: %v before the malformed answer", name, a.Name, err)
				}
			}
			answer.Store(&a.Text)
			for call := range calls {
				if err := calls[call](t.Context(), by); !fault.Is(err, fault.Broken) {
					t.Errorf("%s %d, %s: %v, want a broken answer", name, call, a.Name, err)
				}
			}
			by.close()
		}
	}
}

// Guards against an answer whose status line is malformed, such as with the status 000, and that counts as a 200.
func TestMalformedStatusLineIsBroken(t *testing.T) {
	testMalformed(t, platformtest.MalformedStatuses(""))
}

// Guards against an answer in whose head the name of a field has a blank or a control byte, or a value has one, and that is read as
// an answer, with that line or with another body than was sent.
func TestMalformedFieldIsBroken(t *testing.T) {
	testMalformed(t, platformtest.MalformedFields(""))
}

// Guards against a check of heads that rejects what servers send and RFC 9110 allows.
func TestUnusualHeadsAreAnswers(t *testing.T) {
	for _, a := range platformtest.UnusualHeads("") {
		e, err := platformtest.NewEndpoint("e", func(x *platformtest.Exchange) bool {
			x.Write("%s", a.Text)
			return false
		})
		if err != nil {
			t.Fatal(err)
		}
		by := newCaller(e.Address(), 10*time.Second)
		for _, name := range []string{"client", "service", "relay"} {
			// The first way to read an answer, which is an empty object, reads it whole.
			if err := readers[name][0](t.Context(), by); err != nil {
				t.Errorf("%s, %s: %v", name, a.Name, err)
			}
		}
		by.close()
		e.Close()
	}
}
