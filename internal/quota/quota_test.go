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
		{"usage equals the limit", cpus(8), cpus(8), true},
		{"one thousandth over", domain.Resources{CPU: 8001}, cpus(8), false},
		{"one task over", cpus(8).Plus(cpus(2), 1), cpus(8), false},
		{"no limit", domain.Resources{CPU: 1 << 40, GPU: 1 << 40, Memory: 1 << 40}, domain.Resources{}, true},
		{"limit 0 of a single resource means no limit", domain.Resources{CPU: 8000, GPU: 99000, Memory: 1 << 40}, cpus(8), true},
		{"over the limit of GPUs only", domain.Resources{CPU: 1000, GPU: 3000}, domain.Resources{CPU: 8000, GPU: 2000}, false},
		{"over the limit of memory only", domain.Resources{CPU: 1000, Memory: 3000}, domain.Resources{CPU: 8000, Memory: 2000}, false},
		{"nothing used", domain.Resources{}, cpus(8), true},
	} {
		if got := Within(x.use, x.limit); got != x.want {
			t.Errorf("%s: Within is %t", x.name, got)
		}
	}
}

func TestOnlyLimited(t *testing.T) {
	all := domain.Resources{CPU: 1, GPU: 2, Memory: 3}
	for _, x := range []struct {
		name        string
		limit, want domain.Resources
	}{
		{"without limits nothing remains", domain.Resources{}, domain.Resources{}},
		{"only CPU limited", domain.Resources{CPU: 9}, domain.Resources{CPU: 1}},
		{"only GPU limited", domain.Resources{GPU: 9}, domain.Resources{GPU: 2}},
		{"only memory limited", domain.Resources{Memory: 9}, domain.Resources{Memory: 3}},
		{"all limited, amount over the limit", domain.Resources{CPU: 1, GPU: 1, Memory: 1}, all},
	} {
		if got := OnlyLimited(all, x.limit); got != x.want {
			t.Errorf("%s: OnlyLimited returned %+v", x.name, got)
		}
	}
}

func TestSlack(t *testing.T) {
	const controllers = 3
	share := int64(tuning.SlackDivisor * controllers)
	least := int64(tuning.MinSlackTasks) * 1000 // the least slack that is reserved, for tasks of one CPU
	for _, x := range []struct {
		name                       string
		limit, unreserved, request domain.Resources
		want                       domain.Resources
	}{
		{"a fraction of an equal share of the limit", cpus(1200), cpus(1200), cpus(1), cpus(1200 / share)},
		{"half of an equal share of what is unreserved", cpus(1200), cpus(120), cpus(1), cpus(120 / (2 * controllers))},
		{"exactly MinSlackTasks tasks", domain.Resources{CPU: least * share}, domain.Resources{CPU: least * share}, cpus(1), domain.Resources{CPU: least}},
		{"a thousandth less than MinSlackTasks tasks", domain.Resources{CPU: least*share - 1}, domain.Resources{CPU: least * share}, cpus(1), domain.Resources{}},
		{"limit of a few tasks", cpus(8), cpus(8), cpus(1), domain.Resources{}},
		{"nothing unreserved", cpus(1200), domain.Resources{}, cpus(1), domain.Resources{}},
		{"more reserved than the limit", cpus(1200), cpus(-60), domain.Resources{}, domain.Resources{}},
		{"no limit", domain.Resources{}, domain.Resources{}, cpus(1), domain.Resources{}},
		{"each resource is calculated separately", domain.Resources{CPU: 1200000, GPU: 8000}, domain.Resources{CPU: 1200000, GPU: 8000},
			domain.Resources{CPU: 1000, GPU: 1000}, cpus(1200 / share)},
	} {
		if got := Slack(x.limit, x.unreserved, x.request, controllers); got != x.want {
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
		{"no starving job, over the limit", Claim{}, "small", cpus(99), cpus(8), true},
		{"room for exactly one task of the starving job", starving, "small", cpus(4), cpus(8), true},
		{"a thousandth less than that", starving, "small", domain.Resources{CPU: 4001}, cpus(8), false},
		{"a task of the starving job itself", starving, "large", cpus(8), cpus(8), true},
		{"no limit", starving, "small", cpus(99), domain.Resources{}, true},
	} {
		if got := x.claim.LeavesRoomForStarvingJob(x.job, x.used, x.limit); got != x.want {
			t.Errorf("%s: LeavesRoomForStarvingJob is %t", x.name, got)
		}
	}
}

func TestAllows(t *testing.T) {
	small := Task{Job: "small", Request: cpus(1)}
	gang := Claim{WaitingGangs: 1, GangRequest: cpus(4)}
	gangWith := func(change func(*Claim)) Claim {
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
		{"no job waits", Claim{}, small, cpus(7), cpus(8), true},
		{"whether the task is within the limit is not checked", Claim{}, small, cpus(8), cpus(8), true},
		{"room for exactly the gang remains", gang, small, cpus(3), cpus(8), true},
		{"too little room for the gang remains", gang, small, cpus(4), cpus(8), false},
		{"gang in a team without a limit", gang, small, cpus(99), domain.Resources{}, true},
		{"nothing is reserved for a gang larger than the limit", gang, small, cpus(1), cpus(3), true},
		{"two gangs, room for both remains", gangWith(func(c *Claim) { c.WaitingGangs = 2 }), small, cpus(0), cpus(9), true},
		{"two gangs, room for only one remains", gangWith(func(c *Claim) { c.WaitingGangs = 2 }), small, cpus(1), cpus(9), false},
		{"three gangs, the limit has room for two at once", gangWith(func(c *Claim) { c.WaitingGangs = 3 }), small, cpus(0), cpus(9), true},
		{"bookings of gangs don't count against the reserved room", gangWith(func(c *Claim) { c.PlacedByLeader = cpus(4) }), small, cpus(4), cpus(9), true},
		{"one small task too many in addition to a booked gang", gangWith(func(c *Claim) { c.PlacedByLeader = cpus(4) }), small, cpus(5), cpus(9), false},
		{"task of a job that the leader places", gang, Task{Job: "gang", Request: cpus(1), PlacedByLeader: true}, cpus(4), cpus(8), true},
		{"memory is ignored for gangs", Claim{WaitingGangs: 1, GangRequest: domain.Resources{Memory: 4000}}, small, domain.Resources{Memory: 8000}, domain.Resources{Memory: 8000}, true},

		{"the job has waited for long", gangWith(func(c *Claim) { c.LongWaiting = map[string]bool{"small": true} }), small, cpus(4), cpus(8), true},
		{"another job has waited for long", gangWith(func(c *Claim) { c.LongWaiting = map[string]bool{"other": true} }), small, cpus(4), cpus(8), false},
		{"the job has waited for long, but a gang is starving", gangWith(func(c *Claim) {
			c.LongWaiting, c.GangStarving = map[string]bool{"small": true}, true
		}), small, cpus(4), cpus(8), false},

		{"task of the starving job, with a waiting gang", gangWith(func(c *Claim) { c.StarvingJob, c.StarvingRequest = "small", cpus(1) }), small, cpus(4), cpus(8), true},
		{"task of the starving job, with a starving gang", gangWith(func(c *Claim) {
			c.StarvingJob, c.StarvingRequest, c.GangStarving = "small", cpus(1), true
		}), small, cpus(4), cpus(8), true},
		{"too little room for the starving job remains", Claim{StarvingJob: "large", StarvingRequest: cpus(4)}, small, cpus(4), cpus(8), false},
		{"room for exactly one task of the starving job remains", Claim{StarvingJob: "large", StarvingRequest: cpus(4)}, small, cpus(3), cpus(8), true},
		{"task of a job that the leader places, too little room for the starving job", Claim{StarvingJob: "large", StarvingRequest: cpus(4)},
			Task{Job: "gang", Request: cpus(1), PlacedByLeader: true}, cpus(4), cpus(8), false},
	} {
		if got := x.claim.Allows(x.task, x.used, x.limit); got != x.want {
			t.Errorf("%s: Allows is %t", x.name, got)
		}
	}
}
