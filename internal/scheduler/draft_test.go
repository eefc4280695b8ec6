package scheduler

import (
	"fmt"
	"testing"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/tuning"
)

// TestDraftRefusalReasons checks for which reason a draft refuses a change of a task, and that a
// value that another commit has to shrink first is remembered for that commit.
func TestDraftRefusalReasons(t *testing.T) {
	const pack = codec.PrefixPack + "c-0/0"
	for name, test := range map[string]struct {
		prepare func(c *Controller, d *draft)
		want    roomRefusal
		full    bool // the value is marked as full
		dirty   bool // another plan is requested
	}{
		"empty draft":                     {func(*Controller, *draft) {}, notRefused, false, false},
		"no changes left":                 {func(_ *Controller, d *draft) { d.maxChanges = 1 }, refusedFullDraft, false, false},
		"no bytes left":                   {func(_ *Controller, d *draft) { d.maxBytes = d.bytes }, refusedFullDraft, false, false},
		"draft for another shard's value": {func(_ *Controller, d *draft) { d.foreignKey = codec.PrefixPack + "c-1/0" }, refusedOwnValue, false, false},
		"no conditions left": {func(_ *Controller, d *draft) {
			for i := range 13 {
				d.addCondition(fmt.Sprint("key ", i))
			}
		}, refusedForConditions, false, false},
		"full value": {func(c *Controller, _ *draft) {
			c.cache.valueSizes[pack] = c.cfg.ValueLimit - tuning.PackSlack
		}, refusedFullValue, true, false},
		"value filled by the draft": {func(c *Controller, d *draft) {
			d.growth[pack] = c.cfg.ValueLimit - tuning.PackSlack
		}, refusedFullValue, true, false},
		"oversized value, no other pack with room for the job": {func(c *Controller, _ *draft) {
			c.cache.oversized[pack], c.commits.mustShrinkInPlan[pack] = true, true
			j := c.cache.jobs[jobName(1)]
			j.Tasks = make([]domain.Task, 400)
			for i := range j.Tasks {
				j.Tasks[i] = domain.Task{State: domain.Booked, Attempt: uint64(i), Machine: fmt.Sprintf("n-%06d", 7*i), AgentEpoch: uint64(i)}
			}
		}, refusedOversized, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := actingController()
			c.apply(openJob(t, 1, 400, 1, 1000))
			j, d := c.cache.jobs[jobName(1)], c.newDraft()
			test.prepare(c, d)
			c.planner.dirty = false
			if got := d.checkChange(&taskChange{job: j, source: pack, key: pack, grows: true}); got != test.want {
				t.Errorf("refused for reason %d, want %d", got, test.want)
			}
			if got := d.hasRoomToGrow(j, 0); got != (test.want == notRefused) {
				t.Errorf("hasRoomToGrow returned %v, want true only without a refusal", got)
			}
			if full := c.commits.fullValues[pack]; full != test.full || c.planner.dirty != test.dirty {
				t.Errorf("value marked as full: %v, another plan requested: %v", full, c.planner.dirty)
			}
		})
	}
}

// TestJobLeavesOversizedPack checks that a job leaves a pack that is too large to be written with
// its next change, and that its header names the new pack.
func TestJobLeavesOversizedPack(t *testing.T) {
	const pack = codec.PrefixPack + "c-0/0"
	c := actingController()
	c.apply(openJob(t, 1, 2, 1, 1000))
	c.cache.oversized[pack], c.commits.mustShrinkInPlan[pack] = true, true
	j, d := c.cache.jobs[jobName(1)], c.newDraft()
	if !d.hasRoomToGrow(j, 0) {
		t.Fatal("the draft has no room for the change")
	}
	d.book(j, 0, bookingPlace{machine: "n-000001", zone: "a", agentEpoch: 1}, 1)
	if d.headers[j.ID] == nil || d.headers[j.ID].Pack != "c-0/1" || d.keys[pack] || !d.conditions[pack] {
		t.Errorf("draft has headers %v, values %v and conditions %v; want a header with pack c-0/1, and the old pack only as a condition", d.headers, d.keys, d.conditions)
	}
}
