package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestLeaderUpgraded replaces the leader first, and then whichever controller took over; or last;
// or first with one more crash of each replaced controller while it starts. A pipeline submitted
// meanwhile must be told to try again later, and must run once all controllers are replaced.
func TestLeaderUpgraded(t *testing.T) {
	for _, x := range []struct {
		order          string
		isLeaderFirst  bool
		crashesAtStart bool
	}{
		{"leader first", true, false},
		{"leader last", false, false},
		{"leader first, each crashes at its start", true, true},
	} {
		t.Run(x.order, func(t *testing.T) {
			c := newCluster(31, Settings(), 0, true)
			c.StartChecks()
			mustPlayAction(t, c, "submit job-000001 array 6 blue run=60 spot")
			c.Run(30 * time.Second)
			for left := 3; left > 0; left-- {
				next := c.nextToUpgrade(x.isLeaderFirst)
				mustPlayAction(t, c, "upgrade "+next+" back=0.5")
				if left == 2 {
					mustPlayAction(t, c, "submit job-000002 array 2 red run=5 awaits=job-000001")
				}
				if x.crashesAtStart {
					c.Run(c.Now + 700*time.Millisecond)
					mustPlayAction(t, c, "crash "+next+" back=0.2")
				}
				c.Run(c.Now + 8*time.Second)
			}
			c.Run(c.Now + 90*time.Second)
			expectCleanRun(t, c, "%s", x.order)
			if !c.jobs["job-000002"].accepted || !c.isFormatOn() {
				t.Errorf("pipeline accepted: %v, new format on: %v; want both", c.jobs["job-000002"].accepted, c.isFormatOn())
			}
		})
	}
}

// mustPlayAction plays one action of a script now and fails the test immediately if it can't
// be played.
func mustPlayAction(t *testing.T, c *Cluster, action string) {
	t.Helper()
	if err := c.playAction(strings.Fields(action)); err != nil {
		t.Fatal(err)
	}
}

// nextToUpgrade returns a controller that still runs the previous version, or "" if there is
// none. It prefers the leader if isLeaderFirst is set, and the other controllers otherwise.
func (c *Cluster) nextToUpgrade(isLeaderFirst bool) string {
	next := ""
	for _, p := range c.processes {
		if isLeader := p.name == c.leaderInView(); p.isPreviousVersion && (next == "" || isLeader == isLeaderFirst) {
			next = p.name
		}
	}
	return next
}

// leaderInView returns the leader of the view that the state service holds, or "" if there is
// none.
func (c *Cluster) leaderInView() (leader string) {
	for _, p := range c.processes {
		if strings.Contains(string(c.state.entries[viewKey].value), `"l":"`+p.name+`"`) {
			leader = p.name
		}
	}
	return leader
}

// TestLateWritesDuringUpgrade has transactions carried out late, or their responses lost, while
// the previous version is replaced, values are made smaller and the limits of the state service
// fall. No rule may be violated, and some late transaction must have changed something.
func TestLateWritesDuringUpgrade(t *testing.T) {
	t.Parallel()
	late := 0
	for _, c := range expectCleanRuns(t, []uint64{3, 5, 8}, func(seed uint64) string {
		return upgradeScenario(seed, "") + "at 70 late all for=25 share=0.4\nat 105 late all for=60 share=0.3\nat 170 lost all for=40 share=0.3\n"
	}) {
		late += c.occurrences["late transaction that changed something"]
	}
	if late == 0 {
		t.Error("no late transaction changed anything")
	}
}
