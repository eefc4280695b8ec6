package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// TestFailingJobsDontCordonMachines plays jobs that fail on every machine until they are
// cancelled, together with other jobs and one sick machine. Only that machine may be cordoned as sick,
// and it must be with at least two of three seeds. The other jobs must be served, and the failing
// ones must be retried ever less often.
func TestFailingJobsDontCordonMachines(t *testing.T) {
	found := 0
	for _, seed := range []uint64{1, 2, 3} {
		c := mustPlay(t, failingJobScenario(seed))
		expectCleanRun(t, c, "seed %d", seed)
		sick := c.cordonsFor("sick")
		attempts, ofGoodJobs := c.countFailedAttempts("n-000001")
		if len(sick) > 1 || len(sick) == 1 && !strings.Contains(sick[0], "n-000001") || len(sick) == 0 && ofGoodJobs >= 4 {
			t.Errorf("seed %d: machines cordoned as sick: %v; want n-000001 at most, and not none after four failed attempts of other jobs on it", seed, sick)
		}
		found += len(sick)
		if attempts > 700 {
			t.Errorf("seed %d: %d failed attempts, want at most 700", seed, attempts)
		}
		t.Logf("seed %d: %d failed attempts of 66 failing tasks in 200 s, %d changes in the state service", seed, attempts, c.state.changes)
	}
	if found < 2 {
		t.Errorf("the sick machine was found with %d of 3 seeds, want at least 2", found)
	}
}

// failingJobScenario returns a script with jobs that fail on every machine, other jobs and one
// sick machine.
func failingJobScenario(seed uint64) string {
	s := fmt.Sprintf("seed %d\n", seed)
	for i := 1; i <= 6; i++ {
		team := []string{"red", "blue"}[i%2]
		s += fmt.Sprintf("at %d submit job-%06d array %d %s run=20 mistake spot\nat 200 cancel job-%06d\n", 3*i, i, 4+2*i, team, i)
		s += fmt.Sprintf("at %d submit job-%06d array 6 %s run=15 spot\n", 5*i, 100+i, team)
		s += fmt.Sprintf("at %d submit job-%06d array 6 %s run=15 spot\n", 20+5*i, 200+i, team)
	}
	return s + "at 25 sick n-000001\nuntil 400\n"
}

// cordonsFor returns the cordons whose text contains a reason.
func (c *Cluster) cordonsFor(reason string) []string {
	var cordons []string
	for _, cordon := range c.cordons {
		if strings.Contains(cordon, reason) {
			cordons = append(cordons, cordon)
		}
	}
	return cordons
}

// countFailedAttempts counts all attempts that failed, and those of them on the given machine of
// jobs that do not fail elsewhere.
func (c *Cluster) countFailedAttempts(machine string) (all, ofGoodJobs int) {
	for _, l := range c.Trace {
		if !strings.Contains(l, ": error") {
			continue
		}
		all++
		if strings.Contains(l, machine) && !strings.Contains(l, "job-00000") {
			ofGoodJobs++
		}
	}
	return all, ofGoodJobs
}

// TestPollStorm has users poll their jobs ten times as often for a minute. The polls must share
// read indexes, so that the state service gets at most half as many requests as polls are
// answered, and nearly all polls must be answered.
func TestPollStorm(t *testing.T) {
	s := "rates\nat 40 storm for=60\n"
	for k := 1; k <= 60; k++ {
		s += fmt.Sprintf("at %d submit job-%06d array 2 blue run=60 spot\n", 1+k%20, k)
	}
	before := mustPlay(t, s+"until 41\n").state.requests
	after := mustPlay(t, s+"until 99\n").state.requests
	c := mustPlay(t, s+"until 900\n")
	answered, failed := c.occurrences["poll answered 200"], 0
	for what, n := range c.occurrences {
		if strings.HasPrefix(what, "poll answered") {
			failed += n
		}
	}
	failed -= answered
	requests := after - before
	t.Logf("%d polls answered, %d failed, %d requests to the state service", answered, failed, requests)
	if answered < 2000 || 50*failed > answered || 2*requests > answered {
		t.Errorf("%d polls answered, want at least 2000; %d failed, want at most one in 50 of these; %d requests to the state service, want at most half as many", answered, failed, requests)
	}
	expectCleanRun(t, c, "poll storm")
}
