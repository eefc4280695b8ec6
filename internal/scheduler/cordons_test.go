package scheduler

import (
	"strings"
	"testing"
	"time"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// TestCordonIsRequestedOnce checks that only "gone" replaces a requested cordon, and that a
// written cordon is neither requested again nor withdrawn.
func TestCordonIsRequestedOnce(t *testing.T) {
	drain := func(reason string) domain.Cordon {
		return domain.Cordon{State: domain.CordonDrain, Reason: reason}
	}
	gone := domain.Cordon{State: domain.CordonGone}
	for _, test := range []struct {
		what                 string
		written, before, now domain.Cordon
		wanted               domain.Cordon
	}{
		{"first request", domain.Cordon{}, domain.Cordon{}, drain(domain.DrainIdle), drain(domain.DrainIdle)},
		{"another reason", domain.Cordon{}, drain(domain.DrainIdle), drain(domain.DrainLost), drain(domain.DrainIdle)},
		{"gone before the drain is written", domain.Cordon{}, drain(domain.DrainIdle), gone, gone},
		{"gone after the drain is written", drain(domain.DrainIdle), domain.Cordon{}, gone, gone},
		{"already draining", drain(domain.DrainIdle), domain.Cordon{}, drain(domain.DrainLost), domain.Cordon{}},
		{"already gone", gone, domain.Cordon{}, drain(domain.DrainLost), domain.Cordon{}},
	} {
		t.Run(test.what, func(t *testing.T) {
			c := actingController()
			if test.written.State != "" {
				c.cache.cordons["n"] = test.written
			}
			if test.before.State != "" {
				c.cordons.requested["n"] = test.before
			}
			c.requestCordon("n", test.now)
			if got := c.cordons.requested["n"]; got != test.wanted {
				t.Errorf("requested cordon is %v, want %v", got, test.wanted)
			}
		})
	}
}

// TestCordonPageDropsOldestToFit checks that a page drops the machines that have been gone
// longest to make room for another cordon, but none with bookings that are still to be released;
// if nothing else can be dropped, the cordon isn't added.
func TestCordonPageDropsOldestToFit(t *testing.T) {
	c := actingController()
	long := strings.Repeat("n", 100)
	drain := domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainIdle}
	page := codec.CordonPage{Draining: map[string]string{}, Gone: []string{long + "1", long + "2"}}
	c.cfg.ValueLimit = cordonPageSize(&page)
	if !c.addCordon(&page, "n-3", drain) || len(page.Gone) != 1 || page.Gone[0] != long+"2" {
		t.Errorf("the machine that has been gone longest was not dropped: %v", page)
	}
	c.cache.bookedOn[long+"2"] = map[domain.TaskID]bool{{Job: jobName(1)}: true}
	if c.addCordon(&page, long+"4", drain) {
		t.Error("a cordon was added to a page without room for it")
	}
	if _, there := page.Draining[long+"4"]; there || len(page.Gone) != 1 || page.Draining["n-3"] != domain.DrainIdle {
		t.Errorf("the page changed although the cordon was not added: %v", page)
	}
	c.cfg.ValueLimit = tuning.PackSlack + 1
	c.cache.bookedOn = map[string]map[domain.TaskID]bool{}
	if c.dropDraining(&page); len(page.Draining) != 0 {
		t.Errorf("draining machines remain in a page without room for any: %v", page)
	}
}

// TestIdleCordonsWait checks that in a large fleet cordons of idle machines wait for others to be
// written with them, and that cordons are written no more often than once per interval.
func TestIdleCordonsWait(t *testing.T) {
	c := actingController()
	for i := range 4000 {
		c.heartbeats.addMachine(jobName(i))
	}
	if !c.isLargeFleet() {
		t.Fatal("the fleet is not large")
	}
	c.cordons.lastWriteAt = c.now
	c.cordons.requested["n"] = domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainIdle}
	if !c.cordons.isDue(c.now) || c.beginCordonRound() {
		t.Error("the cordon of an idle machine is written at once or isn't due")
	}
	if c.cordons.isDue(c.now + tuning.CordonInterval - time.Millisecond) {
		t.Error("cordons are due again within the interval")
	}
	c.cordons.requested["m"] = domain.Cordon{State: domain.CordonDrain, Reason: domain.DrainFailed}
	if !c.beginCordonRound() {
		t.Error("the cordon of a failed machine isn't written at once")
	}
}
