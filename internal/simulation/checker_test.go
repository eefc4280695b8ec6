package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// TestCheckerReportsMissingGuards takes one guard away at a time: the same days must then
// break the rule that the guard keeps.
func TestCheckerReportsMissingGuards(t *testing.T) {
	withPipelines := func(guard string) func(uint64) string {
		return func(seed uint64) string { return pipelineScenario(seed, guard) }
	}
	for _, x := range []struct {
		guard  string
		rule   string
		script func(seed uint64) string
	}{
		{"proof", ruleRanTwice, func(seed uint64) string { return randomScenario(seed, "proof") }},
		{"quota", ruleQuota, func(seed uint64) string { return randomScenario(seed, "quota") }},
		{"needs", ruleTooEarly, withPipelines("needs")},
		{"cascade", ruleOrphaned, withPipelines("cascade")},
		{"draft", ruleWrongPlace, func(seed uint64) string { return zoneScenario(seed, "draft") }},
		// An owner that hears nothing from the state service while its machines still reach
		// it, for longer than fence and lease; without the cloud, whose word would settle it.
		{"fence", ruleRanTwice, func(seed uint64) string {
			return fmt.Sprintf("seed %d\ndrop fence\nat 2 submit job-000001 array 12 blue run=150\n"+
				"at 2 submit job-000002 array 12 red run=12\nat 30 cloud down for=150\n"+
				"at 31 cut c-%d state hold for=90\nuntil 300\n", seed, seed%3)
		}},
		// Nothing can be answered, and that counts for once.
		{"", ruleForgotten, func(uint64) string {
			return "blind\nat 2 submit job-000001 array 2 blue run=200\nat 20 state down for=100\nuntil 150\n"
		}},
	} {
		t.Run(x.guard, func(t *testing.T) {
			t.Parallel()
			expectSomeSeedBreaks(t, x.rule, x.guard, x.script)
		})
	}
}

// TestCheckerReportsWaitingJobs: without bookings a job waits beside room for it, and its
// class and team go unserved, while a gang, which the leader books, is served.
func TestCheckerReportsWaitingJobs(t *testing.T) {
	c := mustPlay(t, "drop book\nat 2 submit job-000001 array 2 blue run=20\nat 2 submit job-000002 gang 1 red run=20\nuntil 300\n")
	for _, violation := range []string{"left_waiting: job-000001", "starved: job-000001", "unserved: 0 of 1 of team blue"} {
		if !c.hasViolation(violation) {
			t.Errorf("%s is not among %v", violation, c.Broken)
		}
	}
	if slices.ContainsFunc(c.Broken, func(s string) bool { return strings.Contains(s, "job-000002") || strings.Contains(s, "team red") }) {
		t.Errorf("%v", c.Broken)
	}
}

// pipelineScenario is a random day with pipelines among its jobs.
func pipelineScenario(seed uint64, drop string) string {
	var b strings.Builder
	writePipelines(&b, rand.New(rand.NewPCG(seed, 5)), 5, 14)
	return randomScenario(seed, drop) + b.String()
}
