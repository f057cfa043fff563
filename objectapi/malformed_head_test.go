package objectapi_test

import (
	"sync"
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/fault"
	"github.com/sardinedock/sardinedock/objectapi"
	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// Guards against an answer of the object API whose head is malformed and that is believed: a write counts as done or as rejected, a
// list as empty, a watch as open.
func TestMalformedAnswerOfTheObjectAPIIsNotBelieved(t *testing.T) {
	answers := append(platformtest.MalformedStatuses(""), platformtest.MalformedFields("")...)
	const step = 7
	var wg sync.WaitGroup
	for n := 0; n < len(answers); n += step {
		wg.Go(func() { testMalformedAnswer(t, n, answers[n]) })
	}
	wg.Wait()
}

// testMalformedAnswer makes a watch and another call, chosen by n, that get this answer.
func testMalformedAnswer(t *testing.T, n int, a platformtest.Answer) {
	e, err := platformtest.NewEndpoint("store", func(x *platformtest.Exchange) bool {
		x.Write("%s", a.Text)
		return false
	})
	if err != nil {
		t.Error(err)
		return
	}
	defer e.Close()
	c := objectapi.NewClient(objectapi.Config{Address: e.Address(), Instance: "entry-1", Timeout: time.Second})
	if w, err := c.Watch(t.Context(), "leases", 1); !fault.Is(err, fault.Unavailable) {
		t.Errorf("%s: Watch returned %v, want a broken answer", a.Name, err)
		if err == nil {
			w.Close()
		}
	}
	switch n % 3 {
	case 0:
		if _, err := c.Put(t.Context(), object("x", "y"), 0); !fault.Is(err, fault.Unknown) {
			t.Errorf("%s: Put returned %v, want an unknown outcome", a.Name, err)
		}
	case 1:
		if err := c.Delete(t.Context(), "leases", "x", 1); !fault.Is(err, fault.Unknown) {
			t.Errorf("%s: Delete returned %v, want an unknown outcome", a.Name, err)
		}
	default:
		if _, err := c.List(t.Context(), "leases"); !fault.Is(err, fault.Unavailable) {
			t.Errorf("%s: List returned %v, want a broken answer", a.Name, err)
		}
	}
}
