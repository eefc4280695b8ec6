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

// mustPlay plays a script and ends the test if it can't be read.
func mustPlay(t *testing.T, script string) *Cluster {
	t.Helper()
	c, err := Play(script)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// expectCleanRun requires that no rule was broken and all accepted jobs came to their end.
func expectCleanRun(t *testing.T, c *Cluster, format string, args ...any) {
	t.Helper()
	if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
		t.Errorf("%s: %d broken, %v; unfinished %v", fmt.Sprintf(format, args...), len(c.Broken), c.Broken, c.Unfinished())
	}
}

// expectNoViolation requires that no rule was broken; of large fleets the first is told alone.
func expectNoViolation(t *testing.T, c *Cluster) {
	t.Helper()
	if len(c.Broken) > 0 {
		t.Errorf("%d broken rules, first %s", len(c.Broken), c.Broken[0])
	}
}

// expectSomeSeedBreaks requires that one of twenty days breaks a rule, as it must without the
// guard that keeps it.
func expectSomeSeedBreaks(t *testing.T, rule, guard string, script func(seed uint64) string) {
	t.Helper()
	for seed := uint64(1); seed <= 20; seed++ {
		if mustPlay(t, script(seed)).hasViolation(rule) {
			return
		}
	}
	t.Errorf("without guard %s no day broke %s", guard, rule)
}

// hasViolation tells whether a violation begins so.
func (c *Cluster) hasViolation(violation string) bool {
	return slices.ContainsFunc(c.Broken, func(b string) bool { return strings.HasPrefix(b, violation) })
}

// isFormatOn tells whether the state service says that all know the new format.
func (c *Cluster) isFormatOn() bool { return c.state.entries[formatKey].value != nil }

// expectCleanRuns plays a day for each seed and requires that each is sound.
func expectCleanRuns(t *testing.T, seeds []uint64, script func(uint64) string) []*Cluster {
	t.Helper()
	clusters := playSeeds(t, seeds, script)
	for i, c := range clusters {
		expectCleanRun(t, c, "seed %d", seeds[i])
	}
	return clusters
}

// firstRunTimes tells when each task first ran, in seconds, by the trace.
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

// playSeeds plays a day for each seed, several at a time: clusters share nothing.
func playSeeds(t *testing.T, seeds []uint64, script func(uint64) string) []*Cluster {
	t.Helper()
	clusters, errs := make([]*Cluster, len(seeds)), make([]error, len(seeds))
	room := make(chan struct{}, runtime.GOMAXPROCS(0))
	var g sync.WaitGroup
	for i, seed := range seeds {
		g.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			clusters[i], errs[i] = Play(script(seed))
		})
	}
	g.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	return clusters
}

// answerCount counts machines that are up, and those of them that had an answer.
type answerCount struct{ answered, up int }

// isNearlyAll: 95 of 100 machines had an answer.
func (a answerCount) isNearlyAll() bool { return 100*a.answered >= 95*a.up }

// countAnswered counts the machines that got a 200 since the given time.
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

// totalWork sums up what all controllers did.
func (c *Cluster) totalWork() (all scheduler.WorkCounts) {
	for _, p := range c.processes {
		x := p.controller.Work
		all.Events, all.PendingHeartbeats = all.Events+x.Events, all.PendingHeartbeats+x.PendingHeartbeats
		all.Machines, all.Targets = all.Machines+x.Machines, all.Targets+x.Targets
	}
	return all
}
