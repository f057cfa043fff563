package endpoint_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/sardinedock/sardinedock/endpoint"
	"github.com/sardinedock/sardinedock/fault"
)

// Guards against a call's answer without framing that the end of its service has truncated, and that counts as
// whole.
func TestUnframedAnswerOfAServiceThatEndsIsBroken(t *testing.T) {
	for name, ends := range map[string]bool{"the service ends": true, "the service goes on": false} {
		t.Run(name, func(t *testing.T) {
			var p *peer
			p = serve(t, func(_ int64, w io.Writer) bool {
				if ends {
					_ = p.ln.Close()
				}
				fmt.Fprint(w, "HTTP/1.1 200 OK\r\n\r\nhalf")
				return false
			})
			s := endpoint.NewService(p.ln.Addr().String(), dialTimeout)
			defer s.Close()
			a, err := s.Do(context.Background(), endpoint.ServiceRequest{Method: "POST", URI: "/x", ID: "r"})
			switch {
			case ends && !fault.Is(err, fault.Broken):
				t.Errorf("%v, want a broken connection", err)
			case !ends && (err != nil || string(a.Body) != "half"):
				t.Errorf("%v, want the answer", err)
			}
		})
	}
}
