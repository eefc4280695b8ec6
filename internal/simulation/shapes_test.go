package simulation

import (
	"fmt"
	"strings"
	"testing"

	"brassglade/internal/domain"
)

// TestEveryShapeAndFlag runs jobs of each shape, of one task and of three, with each flag that
// restricts where they run, with and without checkpoints and a deadline. A job of one task to be
// spread over zones once crashed every controller in turn, since the leader counted its tasks in
// a map that only jobs of several tasks had.
func TestEveryShapeAndFlag(t *testing.T) {
	flags := []string{"", "spread", "onezone", "spot", "zone=b", "types=box", "spot spread", "spot onezone", "zone=b spread", "zone=b onezone"}
	// Several tasks that must all be in zone b, but at most half of them in each zone, can never run.
	impossible := func(tasks int, flag string) bool { return tasks > 1 && flag == "zone=b spread" }
	for _, shape := range []domain.Shape{domain.Array, domain.Gang, domain.Service} {
		for _, tasks := range []int{1, 3} {
			for _, flag := range flags {
				if impossible(tasks, flag) {
					continue
				}
				for _, progress := range []string{"", "ckpt=5 due=120"} {
					job := strings.Join(strings.Fields(fmt.Sprintf("%s %d blue run=10 gpu=1 %s %s", shape, tasks, flag, progress)), " ")
					t.Run(job, func(t *testing.T) {
						t.Parallel()
						expectAllTasksRun(t, job, tasks)
					})
				}
			}
		}
	}
}

// expectAllTasksRun plays a scenario with one job and requires that each of its tasks ran, that
// no rule was violated, and that the job reached a final state unless it is a service.
func expectAllTasksRun(t *testing.T, job string, tasks int) {
	t.Helper()
	c := mustPlay(t, "seed 7\nat 1 submit job-000001 "+job+"\nuntil 100\n")
	if runs := c.firstRunTimes("job-000001"); len(runs) != tasks {
		t.Errorf("%d of %d tasks ran", len(runs), tasks)
	}
	expectCleanRun(t, c, "%s", job)
}
