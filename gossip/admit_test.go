package gossip

import (
	"testing"
	"time"

	"github.com/sardinedock/sardinedock/ring"
	"github.com/sardinedock/sardinedock/schema/gossippb"
)

// Guards against ignoring a peer whose clock was set back by seconds before its process
// restarted: its new incarnation number is smaller than the old one. If its datagrams were
// dropped, it would count as dead and the requests that it sends would not be counted.
func TestAdmitsRestartedPeerWithClockSetBack(t *testing.T) {
	n := &Node{name: "self", states: map[string]peerState{}}
	receive := func(incarnation uint64, at time.Time) (accepted, restarted bool) {
		a := n.admit(&gossippb.Datagram{Instance: "peer", Incarnation: incarnation}, at)
		return a.accepted, a.restarted
	}
	start := time.Unix(1000, 0)
	receive(500, start)
	if accepted, _ := receive(400, start.Add(100*time.Millisecond)); accepted {
		t.Error("a delayed datagram of the earlier incarnation was accepted")
	}
	if accepted, restarted := receive(400, start.Add(2*time.Second)); !accepted || !restarted {
		t.Errorf("2 s after the last datagram: accepted %v, restarted %v", accepted, restarted)
	}
	if accepted, restarted := receive(400, start.Add(2100*time.Millisecond)); !accepted || restarted {
		t.Errorf("the next datagram: accepted %v, restarted %v", accepted, restarted)
	}
}

// Guards against a peer that is a scheduler and is treated as none, since a scheduler has forwarded an older datagram
// of it late: the end of a run that is reported meanwhile would never reach it.
func TestForwardedOlderDatagramDoesNotChangeTheStateOfItsSender(t *testing.T) {
	n := &Node{name: "self", states: map[string]peerState{}}
	now := time.Unix(1000, 0)
	receive := func(number uint64, scheduler bool) bool {
		a := n.admit(&gossippb.Datagram{Instance: "peer", Incarnation: 1, Number: number, Scheduler: scheduler}, now)
		return a.accepted && n.states["peer"].scheduler
	}
	receive(3, false)
	if !receive(5, true) {
		t.Fatal("a newer datagram does not change the state")
	}
	if !receive(4, false) {
		t.Error("an older datagram changes the state, or is dropped with its messages")
	}
	if receive(6, false) {
		t.Error("the next newer datagram does not change the state")
	}
}

// Guards against forwarding the read times of peers as one's own. Each hop would shift the time
// by the network delay, so a read would never become old, no instance would read the store any
// more, and changes missed by the watches would never be seen.
func TestPeerReadTimesAreNotForwarded(t *testing.T) {
	n := &Node{revisions: map[string]uint64{"servers": 7}, reads: map[string]time.Time{}}
	peer := &gossippb.Revision{Kind: "servers", Revision: 7, ReadMsAgo: 500}
	if ago := time.Since(readTime(peer)); ago < 500*time.Millisecond || ago > 600*time.Millisecond {
		t.Errorf("a read 500 ms ago was taken as %v ago", ago)
	}
	if got := revisionsOf(n)[0].GetReadMsAgo(); got != -1 {
		t.Errorf("announced a read %d ms ago; this instance has not read at all", got)
	}
}

// Guards against not announcing the read of a kind for which no change was ever seen. Each of
// hundreds of instances would then read the kind every second, and each call is paid for.
func TestReadOfKindWithoutRevisionIsBroadcast(t *testing.T) {
	n := &Node{revisions: map[string]uint64{}, reads: map[string]time.Time{}, out: ring.New[item]("gossip_test", 4)}
	n.BroadcastRead("versions")
	if got := revisionsOf(n); len(got) != 1 || got[0].GetKind() != "versions" || got[0].GetReadMsAgo() < 0 {
		t.Errorf("the next heartbeat carries %v", got)
	}
}

// Guards against broadcasting a revision without delay when it was already received from a peer
// and then also seen by this instance's own read: the fleet would receive it as many times as
// there are instances.
func TestRevisionReceivedFromPeerIsNotSentAtOnce(t *testing.T) {
	n := &Node{
		name: "self", states: map[string]peerState{}, revisions: map[string]uint64{}, reads: map[string]time.Time{},
		out: ring.New[item]("gossip_test", 4), handler: nopHandler{},
	}
	n.apply(&gossippb.Datagram{Instance: "peer", Incarnation: 1, Revisions: []*gossippb.Revision{{Kind: "servers", Revision: 7, ReadMsAgo: -1}}})
	n.BroadcastRevision("servers", 7)
	if n.out.Len() != 0 {
		t.Error("a revision received from a peer is broadcast without delay")
	}
	if got := revisionsOf(n); len(got) != 1 || got[0].GetRevision() != 7 {
		t.Errorf("the next datagram carries %v", got)
	}
	if got := revisionsOf(n); len(got) != 0 {
		t.Errorf("the datagram after it carries %v again", got)
	}
	n.BroadcastRevision("servers", 8)
	if n.out.Len() != 1 {
		t.Error("a revision that is new to the fleet is not broadcast without delay")
	}
}

// nopHandler ignores all messages.
type nopHandler struct{}

func (nopHandler) Started(*gossippb.RunStart)         {}
func (nopHandler) Stage(*gossippb.RunStage)           {}
func (nopHandler) Notice(string, *gossippb.Notice)    {}
func (nopHandler) Entry(*gossippb.Entry)              {}
func (nopHandler) Cache(*gossippb.CacheNews)          {}
func (nopHandler) QuotaUsed(*gossippb.QuotaUse)       {}
func (nopHandler) QuotaBooked(*gossippb.QuotaBooking) {}
func (nopHandler) SchedulerStarted(string)            {}
func (nopHandler) Revision(string, uint64, time.Time) {}
func (nopHandler) Asked(a *gossippb.Ask) *gossippb.Decision {
	return &gossippb.Decision{Run: a.GetRun(), Endpoint: "chosen"}
}

// Guards against overlooking that an instance which has been running for hours takes over from
// a failed scheduler. It has never been sent what endpoints have cached; unless its peers send
// it then, it has prompts computed again that endpoints hold in their cache.
func TestAdmitReportsNewScheduler(t *testing.T) {
	n := &Node{name: "self", states: map[string]peerState{}}
	receive := func(scheduler bool) admission {
		return n.admit(&gossippb.Datagram{Instance: "peer", Incarnation: 1, Scheduler: scheduler}, time.Unix(1000, 0))
	}
	if a := receive(false); !a.restarted || a.scheduler {
		t.Errorf("admission of a new instance: %+v", a)
	}
	if a := receive(true); a.restarted || !a.scheduler {
		t.Errorf("admission of an instance that becomes a scheduler: %+v", a)
	}
	if a := receive(true); a.scheduler {
		t.Errorf("admission of an instance that remains a scheduler: %+v", a)
	}
}

// revisionsOf returns the revisions that the next heartbeat carries.
func revisionsOf(n *Node) []*gossippb.Revision { return n.pack(nil, true)[0].GetRevisions() }

// Guards against asking a former scheduler for as long as it answers: its heartbeats go to
// schedulers only, and it decides on outdated information.
func TestDecisionReportsThatSenderIsNoLongerScheduler(t *testing.T) {
	n := &Node{name: "self", states: map[string]peerState{}}
	now := time.Unix(1000, 0)
	n.admit(&gossippb.Datagram{Instance: "peer", Incarnation: 1, Scheduler: true}, now)
	n.admit(&gossippb.Datagram{Instance: "peer", Incarnation: 1, Decisions: []*gossippb.Decision{{Run: 1}}}, now)
	if n.states["peer"].scheduler {
		t.Error("the peer still counts as a scheduler")
	}
}
