package scheduler

import (
	"fmt"
	"testing"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
)

// TestFullPackWithLongTextIsSplit guards against a plan that never ends: a full pack holds, beside
// a small job, an array whose text is longer than the share of a pack that jobs may take, but would
// fit an empty value. The search for another pack went on for ever, and the controller answered
// nothing any more. The array must be split, and both jobs keep their bookings.
func TestFullPackWithLongTextIsSplit(t *testing.T) {
	const arrayTasks, smallTasks, pack = 280, 4, codec.PrefixPack + "c-0/0"
	for attempts := 80; attempts <= 130; attempts += 10 { // the more attempts differ, the longer is the array's text
		t.Run(fmt.Sprint(attempts, " attempts"), func(t *testing.T) {
			c := actingController()
			c.cfg.ValueLimit, c.cfg.TransactionLimit = 4096, 8
			c.cache.format = 2
			tasksByJob := map[string][]domain.Task{}
			for number, tasks := range map[int]int{1: arrayTasks, 2: smallTasks} {
				c.apply(openJob(t, number, tasks, 1, 1000))
				booked := make([]domain.Task, tasks)
				for i := range booked {
					booked[i] = domain.Task{State: domain.Booked, Attempt: uint64(100 + i%attempts), Machine: fmt.Sprintf("n-%06d", i/2), AgentEpoch: 1, Zone: "a", Shard: "c-0"}
				}
				tasksByJob[jobName(number)] = booked
			}
			c.apply(domain.KeyValue{Key: pack, Value: codec.Encode(codec.NewChunkValue(tasksByJob, true)), ModRevision: 50})
			array, small := c.cache.jobs[jobName(1)], c.cache.jobs[jobName(2)]
			c.commits.fullValues[pack] = true
			d := c.newDraft()
			c.planSplits(d)
			if d.changes() == 0 || len(d.transaction().Puts) > c.cfg.TransactionLimit || c.hasValueTooLarge(d.transaction()) {
				t.Fatalf("%d changes planned, want some within the limits", d.changes())
			}
			c.commitDraft(d)
			commitAll(t, c)
			if array.Header.Pack == "c-0/0" {
				t.Error("the array is still in the full pack")
			}
			if array.counts.booked != arrayTasks || small.counts.booked != smallTasks {
				t.Errorf("%d and %d bookings, want %d and %d", array.counts.booked, small.counts.booked, arrayTasks, smallTasks)
			}
		})
	}
}
