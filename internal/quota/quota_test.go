package quota

import (
	"testing"

	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

func cpus(n int64) domain.Resources { return domain.Resources{CPU: 1000 * n} }

func TestWithin(t *testing.T) {
	for _, x := range []struct {
		name       string
		use, limit domain.Resources
		want       bool
	}{
		{"exactly at the limit", cpus(8), cpus(8), true},
		{"one thousandth over", domain.Resources{CPU: 8001}, cpus(8), false},
		{"one task over", cpus(8).Plus(cpus(2), 1), cpus(8), false},
		{"no limit at all", domain.Resources{CPU: 1 << 40, GPU: 1 << 40, Memory: 1 << 40}, domain.Resources{}, true},
		{"limit 0 means none, one by one", domain.Resources{CPU: 8000, GPU: 99000, Memory: 1 << 40}, cpus(8), true},
		{"over in GPUs alone", domain.Resources{CPU: 1000, GPU: 3000}, domain.Resources{CPU: 8000, GPU: 2000}, false},
		{"over in memory alone", domain.Resources{CPU: 1000, Memory: 3000}, domain.Resources{CPU: 8000, Memory: 2000}, false},
		{"nothing used", domain.Resources{}, cpus(8), true},
	} {
		if got := Within(x.use, x.limit); got != x.want {
			t.Errorf("%s: %t", x.name, got)
		}
	}
}

func TestOnlyLimited(t *testing.T) {
	all := domain.Resources{CPU: 1, GPU: 2, Memory: 3}
	for _, x := range []struct {
		name        string
		limit, want domain.Resources
	}{
		{"no limit bounds nothing", domain.Resources{}, domain.Resources{}},
		{"CPU alone", domain.Resources{CPU: 9}, domain.Resources{CPU: 1}},
		{"GPU alone", domain.Resources{GPU: 9}, domain.Resources{GPU: 2}},
		{"memory alone", domain.Resources{Memory: 9}, domain.Resources{Memory: 3}},
		{"all, also beyond the limit", domain.Resources{CPU: 1, GPU: 1, Memory: 1}, all},
	} {
		if got := OnlyLimited(all, x.limit); got != x.want {
			t.Errorf("%s: %+v", x.name, got)
		}
	}
}

func TestSlack(t *testing.T) {
	const controllers = 3
	share := int64(tuning.SlackShare * controllers)
	least := int64(tuning.SlackTasks) * 1000 // the least that is worth it, for tasks of one CPU
	for _, x := range []struct {
		name                 string
		limit, left, request domain.Resources
		want                 domain.Resources
	}{
		{"a part of an equal share", cpus(1200), cpus(1200), cpus(1), cpus(1200 / share)},
		{"half an equal share of what is left", cpus(1200), cpus(120), cpus(1), cpus(120 / (2 * controllers))},
		{"exactly the least number of tasks", domain.Resources{CPU: least * share}, domain.Resources{CPU: least * share}, cpus(1), domain.Resources{CPU: least}},
		{"a thousandth less than that", domain.Resources{CPU: least*share - 1}, domain.Resources{CPU: least * share}, cpus(1), domain.Resources{}},
		{"a limit of a few tasks", cpus(8), cpus(8), cpus(1), domain.Resources{}},
		{"nothing left", cpus(1200), domain.Resources{}, cpus(1), domain.Resources{}},
		{"more set aside than the limit", cpus(1200), cpus(-60), domain.Resources{}, domain.Resources{}},
		{"no limit", domain.Resources{}, domain.Resources{}, cpus(1), domain.Resources{}},
		{"each kind for itself", domain.Resources{CPU: 1200000, GPU: 8000}, domain.Resources{CPU: 1200000, GPU: 8000},
			domain.Resources{CPU: 1000, GPU: 1000}, cpus(1200 / share)},
	} {
		if got := Slack(x.limit, x.left, x.request, controllers); got != x.want {
			t.Errorf("%s: %+v, not %+v", x.name, got, x.want)
		}
	}
}

func TestLeavesRoomForStarvingJob(t *testing.T) {
	starving := Claim{StarvingJob: "large", StarvingRequest: cpus(4)}
	for _, x := range []struct {
		name        string
		claim       Claim
		job         string
		used, limit domain.Resources
		want        bool
	}{
		{"nothing starves, over the limit", Claim{}, "small", cpus(99), cpus(8), true},
		{"exactly its room is left", starving, "small", cpus(4), cpus(8), true},
		{"a thousandth less", starving, "small", domain.Resources{CPU: 4001}, cpus(8), false},
		{"the starving job keeps nothing from itself", starving, "large", cpus(8), cpus(8), true},
		{"no limit", starving, "small", cpus(99), domain.Resources{}, true},
	} {
		if got := x.claim.LeavesRoomForStarvingJob(x.job, x.used, x.limit); got != x.want {
			t.Errorf("%s: %t", x.name, got)
		}
	}
}

func TestAllows(t *testing.T) {
	small := Task{Job: "small", Request: cpus(1)}
	gang := Claim{WaitingGangs: 1, GangRequest: cpus(4)}
	with := func(change func(*Claim)) Claim {
		claim := gang
		change(&claim)
		return claim
	}
	for _, x := range []struct {
		name        string
		claim       Claim
		task        Task
		used, limit domain.Resources
		want        bool
	}{
		{"nothing waits", Claim{}, small, cpus(7), cpus(8), true},
		{"the task's own limit is not asked for", Claim{}, small, cpus(8), cpus(8), true},
		{"a gang keeps exactly its room", gang, small, cpus(3), cpus(8), true},
		{"one task more would take it", gang, small, cpus(4), cpus(8), false},
		{"a gang that no limit bounds", gang, small, cpus(99), domain.Resources{}, true},
		{"a gang larger than the limit keeps nothing", gang, small, cpus(1), cpus(3), true},
		{"two gangs, room for both", with(func(c *Claim) { c.WaitingGangs = 2 }), small, cpus(0), cpus(9), true},
		{"two gangs, a task that leaves room for one", with(func(c *Claim) { c.WaitingGangs = 2 }), small, cpus(1), cpus(9), false},
		{"three gangs of which two could ever be", with(func(c *Claim) { c.WaitingGangs = 3 }), small, cpus(0), cpus(9), true},
		{"what gangs have booked is theirs", with(func(c *Claim) { c.PlacedByLeader = cpus(4) }), small, cpus(4), cpus(9), true},
		{"beside a booked gang one small task too many", with(func(c *Claim) { c.PlacedByLeader = cpus(4) }), small, cpus(5), cpus(9), false},
		{"a task that the leader places", gang, Task{Job: "gang", Request: cpus(1), PlacedByLeader: true}, cpus(4), cpus(8), true},
		{"memory doesn't bound gangs", Claim{WaitingGangs: 1, GangRequest: domain.Resources{Memory: 4000}}, small, domain.Resources{Memory: 8000}, domain.Resources{Memory: 8000}, true},

		{"a job that waited for long", with(func(c *Claim) { c.LongWaiting = map[string]bool{"small": true} }), small, cpus(4), cpus(8), true},
		{"another job waited for long", with(func(c *Claim) { c.LongWaiting = map[string]bool{"other": true} }), small, cpus(4), cpus(8), false},
		{"a job that waited for long beside a gang that starves", with(func(c *Claim) {
			c.LongWaiting, c.GangStarving = map[string]bool{"small": true}, true
		}), small, cpus(4), cpus(8), false},

		{"a starving job goes ahead of gangs", with(func(c *Claim) { c.StarvingJob, c.StarvingRequest = "small", cpus(1) }), small, cpus(4), cpus(8), true},
		{"even of a gang that starves", with(func(c *Claim) {
			c.StarvingJob, c.StarvingRequest, c.GangStarving = "small", cpus(1), true
		}), small, cpus(4), cpus(8), true},
		{"a starving job keeps its room from others", Claim{StarvingJob: "large", StarvingRequest: cpus(4)}, small, cpus(4), cpus(8), false},
		{"others beside exactly its room", Claim{StarvingJob: "large", StarvingRequest: cpus(4)}, small, cpus(3), cpus(8), true},
		{"also from a task that the leader places", Claim{StarvingJob: "large", StarvingRequest: cpus(4)},
			Task{Job: "gang", Request: cpus(1), PlacedByLeader: true}, cpus(4), cpus(8), false},
	} {
		if got := x.claim.Allows(x.task, x.used, x.limit); got != x.want {
			t.Errorf("%s: %t", x.name, got)
		}
	}
}
