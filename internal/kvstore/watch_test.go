package kvstore

import (
	"strings"
	"testing"
	"time"

	"brassglade/internal/scheduler"
)

// TestSnapshotAndWatch checks that a snapshot reads all pages and returns the revision of the
// first, so that a watch from there also reports what changed while later pages were read.
// Changes are emitted by revision, and status 410 of a watch requires a new snapshot.
func TestSnapshotAndWatch(t *testing.T) {
	c := newTestClient(t, func(_, p, _ string) (int, string) {
		switch {
		case strings.HasPrefix(p, "/watch"):
			if strings.Contains(p, "Since=5&") {
				return 200, `{"Ledger":8,"Events":[{"Delete":"b/k","Stamp":8},{"Set":"b/j","V":2,"Stamp":7}]}`
			}
			return 410, ``
		case strings.Contains(p, "Since="):
			return 200, `{"Items":[{"Path":"b/k","V":2,"Stamp":6}],"Truncated":false,"Ledger":6}`
		}
		return 200, `{"Items":[{"Path":"b/a","V":1,"Stamp":4}],"Truncated":true,"Ledger":5}`
	})
	var got []scheduler.Event
	since, err := c.loadSnapshot(func(e scheduler.Event) { got = append(got, e) })
	if err != nil || since != 5 || len(got) != 1 || len(got[0].(scheduler.SnapshotLoaded).Items) != 2 {
		t.Fatalf("snapshot of revision %d, error %v, emitted %+v", since, err, got)
	}
	clock := func() time.Duration { return 3 * time.Second }
	next, stale := c.fetchChanges(since, clock, func(e scheduler.Event) { got = append(got, e) })
	w := got[1].(scheduler.WatchAdvanced)
	if next != 8 || stale || w.Sent != clock() || len(w.Items) != 2 || w.Items[0].Key != "b/j" || w.Items[1].Value != nil {
		t.Errorf("watch: next %d, stale %v, emitted %+v", next, stale, w)
	}
	if _, stale := c.fetchChanges(next, clock, func(scheduler.Event) {}); !stale {
		t.Error("status 410 of a watch did not require a new snapshot")
	}
}
