package simulation

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brassglade/internal/scheduler"
)

// mustPlay plays a script and fails the test immediately if the script can't be parsed.
func mustPlay(t *testing.T, script string) *Cluster {
	t.Helper()
	c, err := Play(script)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// expectCleanRun requires a run without violations, after which all accepted jobs except services
// have a final state.
func expectCleanRun(t *testing.T, c *Cluster, format string, args ...any) {
	t.Helper()
	if len(c.Violations) > 0 || len(c.Unfinished()) > 0 {
		t.Errorf("%s: %d violations: %v; unfinished jobs: %v", fmt.Sprintf(format, args...), len(c.Violations), c.Violations, c.Unfinished())
	}
}

// expectNoViolation requires a run without violations. It prints only the first violation, since a
// large cluster may have very many.
func expectNoViolation(t *testing.T, c *Cluster) {
	t.Helper()
	if len(c.Violations) > 0 {
		t.Errorf("%d violations, first: %s", len(c.Violations), c.Violations[0])
	}
}

// expectSomeSeedViolates requires that the script of one of the seeds 1 to 20 leads to a violation
// of a rule. The script disables the guard that protects the rule.
func expectSomeSeedViolates(t *testing.T, rule, guard string, script func(seed uint64) string) {
	t.Helper()
	for seed := uint64(1); seed <= 20; seed++ {
		if mustPlay(t, script(seed)).hasViolation(rule) {
			return
		}
	}
	t.Errorf("without guard %s none of the seeds 1 to 20 violated rule %s", guard, rule)
}

// hasViolation reports whether a violation begins with the given text.
func (c *Cluster) hasViolation(prefix string) bool {
	return slices.ContainsFunc(c.Violations, func(v string) bool { return strings.HasPrefix(v, prefix) })
}

// isFormatOn reports whether the state service records that all controllers know the new format.
func (c *Cluster) isFormatOn() bool { return c.state.entries[formatKey].value != nil }

// expectCleanRuns plays a script for each seed and requires a clean run of each. It returns the
// clusters in the order of the seeds.
func expectCleanRuns(t *testing.T, seeds []uint64, script func(uint64) string) []*Cluster {
	t.Helper()
	clusters := playSeeds(t, seeds, script)
	for i, c := range clusters {
		expectCleanRun(t, c, "seed %d", seeds[i])
	}
	return clusters
}

// firstRunTimes returns when each task of a job that has run first ran, by the trace, in seconds
// and ascending.
func (c *Cluster) firstRunTimes(job string) []float64 {
	first := map[string]float64{}
	for _, l := range c.Trace {
		var at float64
		var task string
		if n, _ := fmt.Sscanf(l, "%f %s", &at, &task); n != 2 || !strings.HasPrefix(task, job+"/") || !strings.Contains(l, " runs on ") {
			continue
		}
		if _, ok := first[task]; !ok {
			first[task] = at
		}
	}
	var times []float64
	for _, at := range first {
		times = append(times, at)
	}
	slices.Sort(times)
	return times
}

// playSeeds plays a script for each seed, several at a time, since clusters share nothing. It
// returns the clusters in the order of the seeds.
func playSeeds(t *testing.T, seeds []uint64, script func(uint64) string) []*Cluster {
	t.Helper()
	clusters, errs := make([]*Cluster, len(seeds)), make([]error, len(seeds))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var playing sync.WaitGroup
	for i, seed := range seeds {
		playing.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			clusters[i], errs[i] = Play(script(seed))
		})
	}
	playing.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	return clusters
}

// answerCount counts the machines that are up, and those of them that had a heartbeat accepted.
type answerCount struct{ answered, up int }

// isNearlyAll reports whether at least 95 % of the machines had a heartbeat accepted.
func (a answerCount) isNearlyAll() bool { return 100*a.answered >= 95*a.up }

// countAnswered counts the machines that are up and, of these, those that had a heartbeat
// answered with status 200 since the given time.
func (c *Cluster) countAnswered(since time.Duration) (count answerCount) {
	for _, w := range c.workers {
		if w.isGone || !w.isUp {
			continue
		}
		count.up++
		if w.acceptedAt >= since {
			count.answered++
		}
	}
	return count
}

// totalWork returns the sum of the work of all controllers.
func (c *Cluster) totalWork() (all scheduler.WorkCounts) {
	for _, p := range c.processes {
		x := p.controller.Work
		all.Events, all.PendingHeartbeats = all.Events+x.Events, all.PendingHeartbeats+x.PendingHeartbeats
		all.Machines, all.Targets = all.Machines+x.Machines, all.Targets+x.Targets
	}
	return all
}
