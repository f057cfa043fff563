package hosted

import (
	"io"
	"strings"
	"testing"

	"github.com/sardinedock/sardinedock/platform/platformtest"
)

// multipartBody has what a parser of forms drops or writes in another way: a preamble, an epilogue, fields of parts in other cases
// and an unknown one.
const multipartBody = "a preamble\r\n--edge\r\ncontent-disposition: form-data; name=a\r\nX-Own: 1\r\n\r\none\r\n" +
	"--edge\r\nContent-Disposition: form-data; name=\"f\"; filename=\"f.bin\"\r\n\r\n\x00\x01two\r\n--edge--\r\nan epilogue"

// Guards against multipart bodies that reach the endpoint changed.
func TestMultipartBodiesReachTheEndpointUnchanged(t *testing.T) {
	f := newFixture(t, 1)
	received := make(chan string, 1)
	f.endpoint("orders-1", "orders", func(x *platformtest.Exchange) bool {
		received <- string(x.Request.Body())
		x.Answer(200, "done")
		return true
	})
	f.serve(1, nil)
	for name, body := range map[string]string{"a form": multipartBody, "no form at all": "no part", "a large part": strings.Replace(multipartBody, "two", strings.Repeat("2", 40<<10), 1)} {
		for _, chunked := range []bool{false, true} {
			req := f.request("POST", "/stock/x", body)
			req.Header.Set("Content-Type", "multipart/form-data; boundary=edge")
			if chunked {
				req.ContentLength = -1
				req.Body = io.NopCloser(strings.NewReader(body))
			}
			a := f.do(req)
			if a.status != 200 {
				t.Errorf("%s, chunked %v: status %d: %s", name, chunked, a.status, a.body)
				continue
			}
			if got := <-received; got != body {
				t.Errorf("%s, chunked %v: the endpoint received %d bytes of %d:\n%.300q", name, chunked, len(got), len(body), got)
			}
		}
	}
}
