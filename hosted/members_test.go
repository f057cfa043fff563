package hosted

import (
	"testing"
	"time"
)

// An instance was unreachable for so long that its entry was removed. Unless it registers again, no
// other instance knows it once it is back.
func TestInstanceWhoseEntryWasRemovedRegistersAgain(t *testing.T) {
	f := newFixture(t, 2)
	f.endpoint("e2", "orders", ok)
	f.serve(1, nil)
	f.eventually("both known to each other", func() bool { return f.instances[0].node.Live() == 2 && f.instances[1].node.Live() == 2 })
	f.store.Remove(kindInstances, "instance-1")
	f.eventually("both listed again", func() bool {
		_, listed := f.instances[0].node.Reach()
		return listed == 2 && f.store.Calls("POST", kindInstances) >= 3
	})
}

// The entries of replaced machines must not stay in the store.
func TestEntryOfALostInstanceIsRemoved(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e2", "orders", ok)
	f.serve(1, nil)
	f.store.Put(kindInstances, "gone", member{Gossip: "127.0.0.1:9", DataCentre: "dc-1"})
	i := f.instances[0]
	f.eventually("listed", func() bool { _, listed := i.node.Reach(); return listed == 2 })
	if lost := i.node.Lost(time.Now().Add(time.Hour), time.Minute); len(lost) != 0 {
		t.Fatalf("half of the fleet considers %v lost", lost)
	}
	if err := i.removeEntry(t.Context(), "gone"); err != nil {
		t.Fatal(err)
	}
	f.eventually("not listed any more", func() bool { _, listed := i.node.Reach(); return listed == 1 })
}

// A killed instance must not go on trying to register while the store is unreachable.
func TestKilledInstanceDoesNotRegister(t *testing.T) {
	f := newFixture(t, 1)
	f.endpoint("e2", "orders", ok)
	f.serve(1, nil)
	i := f.instances[0]
	f.eventually("settled", i.settled.Load)
	f.store.Refuse(503)
	before := f.store.Calls("POST", kindInstances)
	i.reregister <- struct{}{}
	f.eventually("two tries", func() bool { return f.store.Calls("POST", kindInstances) >= before+2 })
	i.Kill()
	killed := f.store.Calls("POST", kindInstances)
	time.Sleep(4 * registerRetry)
	if more := f.store.Calls("POST", kindInstances) - killed; more > 1 {
		t.Errorf("%d registrations after Kill", more)
	}
}
