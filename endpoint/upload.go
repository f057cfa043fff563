package endpoint

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sardinedock/sardinedock/fault"
)

// upload is a request that is written while its response is read.
type upload struct {
	done chan struct{}
	// err is the error that ended the writing. It is set once done is closed.
	err error
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// end records that writing has ended. It is called once.
func (u *upload) end(err error) {
	u.err = err
	close(u.done)
}

// ended reports whether writing has ended.
func (u *upload) ended() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// wait blocks until writing has ended.
func (u *upload) wait() error {
	<-u.done
	return u.err
}

var unframedUploadsCut = metrics.GetOrCreateCounter("sardinedock_endpoint_unframed_answers_cut_total")

// unframedBody reads a body that ends with its connection while the request is written. A socket reports a reset once: if the writing
// goroutine gets it, reading ends as it does after an orderly close. The body counts as whole only if the whole request was written.
type unframedBody struct {
	io.Reader
	upload *upload
}

// Read implements io.Reader. At the end of the connection it blocks until the request is written, at most until the connection's
// context is done. An endpoint may state the end of its answer and read on.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.upload.wait(); err != nil {
		unframedUploadsCut.Inc()
		return n, fault.Wrap(err, fault.Broken, "look at the endpoint's log", "an answer without framing ended before the request was written")
	}
	return n, io.EOF
}

// checkUnframedEnd has the body end with an error if the end of its connection does not show that it is whole.
func (in *Incoming) checkUnframedEnd() {
	if in.upload != nil && in.response.framing == ByClose {
		in.response.body = &unframedBody{in.response.body, in.upload}
	}
}
