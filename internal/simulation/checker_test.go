package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// TestCheckerReportsMissingGuards disables one guard of the scheduler at a time. With one of the
// seeds 1 to 20 the checker must then report a violation of the rule that the guard protects.
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
		// For longer than the fence age and a lease together, a controller gets no response from the
		// state service, while the machines that it owns still reach it. The cloud is down, since its
		// instance list would prove whether the machines are gone.
		{"fence", ruleRanTwice, func(seed uint64) string {
			return fmt.Sprintf("seed %d\ndrop fence\nat 2 submit job-000001 array 12 blue run=150\n"+
				"at 2 submit job-000002 array 12 red run=12\nat 30 cloud down for=150\n"+
				"at 31 cut c-%d state hold for=90\nuntil 300\n", seed, seed%3)
		}},
		// No guard is disabled here: the checker must report a rule violated by a fault alone. No query
		// of a user can be answered while the state service is down, and "blind" makes the checker
		// report this although there is a fault.
		{"", ruleForgotten, func(uint64) string {
			return "blind\nat 2 submit job-000001 array 2 blue run=200\nat 20 state down for=100\nuntil 150\n"
		}},
	} {
		t.Run(x.guard, func(t *testing.T) {
			t.Parallel()
			expectSomeSeedViolates(t, x.rule, x.guard, x.script)
		})
	}
}

// TestCheckerReportsWaitingJobs disables the booking of queued tasks. The checker must report
// that the array waits although a machine has room for it, and that its class and team are not served, but
// nothing about the gang, which the leader books.
func TestCheckerReportsWaitingJobs(t *testing.T) {
	c := mustPlay(t, "drop book\nat 2 submit job-000001 array 2 blue run=20\nat 2 submit job-000002 gang 1 red run=20\nuntil 300\n")
	for _, violation := range []string{"left_waiting: job-000001", "starved: job-000001", "unserved: 0 of 1 of team blue"} {
		if !c.hasViolation(violation) {
			t.Errorf("%s is not among %v", violation, c.Violations)
		}
	}
	if slices.ContainsFunc(c.Violations, func(s string) bool { return strings.Contains(s, "job-000002") || strings.Contains(s, "team red") }) {
		t.Errorf("violations by the gang or its team: %v", c.Violations)
	}
}

// pipelineScenario returns a random script with pipelines among its jobs. drop is the guard to
// disable; empty: none.
func pipelineScenario(seed uint64, drop string) string {
	var b strings.Builder
	writePipelines(&b, rand.New(rand.NewPCG(seed, 5)), 5, 14)
	return randomScenario(seed, drop) + b.String()
}
