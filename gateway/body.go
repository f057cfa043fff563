package gateway

import (
	"cmp"

	"github.com/sardinedock/sardinedock/inbound"
	"github.com/sardinedock/sardinedock/overload"
)

// maxBody returns the bound of the body's size in bytes.
func (r *request) maxBody() int {
	return cmp.Or(min(r.table.Limits().BodyBytes, r.srv.cfg.BodyBytes), r.srv.cfg.BodyBytes)
}

// receiveBody reads the body. If it returns an error, nothing has been sent.
func (r *request) receiveBody(framing inbound.Framing) error {
	if framing.Length < 0 || framing.Length > r.conn.reader.Buffered() {
		// A shutdown whose time is over ends what the caller sends.
		r.srv.open.started(r, func(error) { r.conn.GiveUp(overload.StageBody) })
	}
	body, err := r.conn.reader.ReadBody(framing, r.maxBody(), r.deadline, r.conn)
	if err != nil {
		return r.bodyFailed(err)
	}
	if framing.Length == 0 {
		return nil
	}
	r.ctx.Request.SetBodyRaw(body)
	if r.srv.shuttingDown.Load() {
		return errShuttingDown
	}
	table := r.srv.cfg.Table()
	if table == r.table {
		return nil
	}
	// Records that came meanwhile may allow less.
	r.table = table
	if err := r.match(); err != nil {
		return err
	}
	if len(body) > r.maxBody() {
		return inbound.ErrTooLarge
	}
	r.setDeadlines()
	return nil
}

// bodyFailed returns the error for which a request is refused whose body could not be read. Its connection can't be used again.
func (r *request) bodyFailed(err error) error {
	r.ctx.SetConnectionClose()
	r.conn.unread.Store(true)
	if reason := unreadReason(err); reason != "" {
		requestsUnread(reason).Inc()
		return err
	}
	return errCallerDisconnected
}

// leaveBody leaves the body of a refused request unread.
func (r *request) leaveBody(framing inbound.Framing) {
	if framing.Length != 0 && !r.conn.reader.LeaveRest(framing) {
		r.ctx.SetConnectionClose()
		r.conn.unread.Store(true)
	}
}

// releaseBody has the memory of the body reused. The request is not sent again.
func (r *request) releaseBody() {
	r.ctx.Request.ResetBody()
	r.conn.reader.Release()
}
