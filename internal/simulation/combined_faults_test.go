package simulation

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// faultCombination is a scenario in which two or more faults overlap, at times that differ by
// seed.
type faultCombination struct {
	name  string
	play  func(*rand.Rand) string
	want  []string // occurrences without which the faults did not overlap
	guard string   // guard to disable in further runs, where rule must be violated; empty: none
	rule  string   // the rule that the guard protects
}

// refusalThenOutage returns script lines in which the state service refuses one controller while
// the others confirm cancellations. Then it is down for all controllers, for longer than a
// cancellation may take.
func refusalThenOutage(r *rand.Rand, controller string) string {
	at := 60 + 10*r.Float64()
	s := ""
	for i := 1; i <= 4; i++ {
		s += fmt.Sprintf("at 2 submit job-%06d array 6 blue run=250\n", i)
	}
	s += scriptLine(at, "state refuse %s for=%d", controller, 10+r.IntN(10))
	for i := 1; i <= 4; i++ {
		s += scriptLine(at+0.05+2*r.Float64(), "cancel job-%06d", i)
	}
	return s + scriptLine(at+2.2+0.7*r.Float64(), "state down for=%d", 50+r.IntN(30))
}

// faultCombinations are the combinations of faults that the users of the project listed;
// docs/meetings.md has a row for each.
var faultCombinations = []faultCombination{
	{
		name:  "refusal_then_outage",
		play:  func(r *rand.Rand) string { return refusalThenOutage(r, randomController(r)) + "until 320\n" },
		want:  []string{"outage while cancelled tasks are on"},
		guard: "fence",
		rule:  ruleRanCancelled,
	},
	{
		name: "refusal_then_outage_during_starts",
		play: func(r *rand.Rand) string {
			// The controller books tasks but can't send their starts, since all machines are
			// cut off from it for less than their lease.
			controller := randomController(r)
			s := "at 2 submit job-000100 array 12 blue run=55\n"
			s += scriptLine(68.8+0.4*r.Float64(), "cut %s * drop for=%d", controller, 14+r.IntN(2))
			for i := 1; i <= 6; i++ {
				s += scriptLine(69.2, "submit job-%06d array 4 blue run=60", i) + scriptLine(70.1+1.5*r.Float64(), "cancel job-%06d", i)
			}
			return s + scriptLine(70, "state refuse %s for=14", controller) + scriptLine(72, "state down for=60") + "until 320\n"
		},
		guard: "fence",
		rule:  ruleLateStart,
	},
	{
		name: "replies_delayed",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 16, 120) + "at 2 submit job-000001 array 9 blue run=120 spot\n"
			for i := 0; i < 6; i++ {
				at := 30 + 120*r.Float64()
				s += scriptLine(at, "cut %s %s hold for=%d", randomController(r), randomMachine(r), 2+r.IntN(12)) + scriptLine(at+r.Float64(), "hang %s for=%d", randomMachine(r), 2+r.IntN(22)) +
					scriptLine(at+1, "crash leader back=%.1f", oneOf(r, 0.3, 4))
			}
			return s + scriptLine(100, "calloff 3 hang=15") + "until 600\n"
		},
		want: []string{"new leader", "running job cancelled"},
	},
	{
		name: "small_jobs_across_leaders",
		play: func(r *rand.Rand) string {
			s := "fill 1\n"
			for i := 0; i < 16; i++ {
				s += fmt.Sprintf("at %d submit job-%06d array %d blue run=%d gpu=%d spot\n", 1+r.IntN(150), 1+i, 2+r.IntN(2), 8+r.IntN(40), 2+r.IntN(2))
			}
			for at := 40; at < 200; at += 25 {
				s += scriptLine(float64(at)+5*r.Float64(), "crash leader back=%.1f", oneOf(r, 0.2, 4, 15))
			}
			return s + "until 700\n"
		},
		want: []string{"new leader"},
	},
	{
		name: "users_query_all_controllers",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 30, 100) + "at 1 looks for=300\nat 20 endings for=100 share=0.4\n"
			for i := 0; i < 10; i++ {
				s += scriptLine(3+110*r.Float64(), "cancel job-%06d", 100+r.IntN(30))
			}
			return s + scriptLine(40, "lost all for=60 share=0.3") + scriptLine(60, "cut %s state hold for=5", randomController(r)) + scriptLine(80, "slow for=20 by=0.9") + "until 500\n"
		},
		want:  []string{"answer to a close look", "answer lost", "slow answer", "cancelled at its end"},
		guard: "index",
		rule:  ruleWentBack,
	},
	{
		name: "repeated_leader_restarts",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 20, 150)
			for at := 30.0; at < 150; at += 20 {
				s += scriptLine(at, "crash leader back=%.1f", 0.1+r.Float64()) + scriptLine(at+2*r.Float64(), "crash leader back=0.2")
			}
			return s + scriptLine(80, "crash all back=0.3") + scriptLine(110, "crash all back=25") + scriptLine(111, "crash c-0 back=0.1") + scriptLine(160, "crash all back=0.1") +
				scriptLine(160.5, "crash %s back=3", randomController(r)) + "until 700\n"
		},
		want: []string{"new leader"},
	},
	{
		name: "quick_machines_late_writes",
		play: func(r *rand.Rand) string {
			s := "at 0 quick for=200\n" + mixedLoad(r, 20, 60)
			for at := 5.0; at < 60; at += 12 {
				s += scriptLine(at, "late all for=6 share=0.5") + scriptLine(at+2+3*r.Float64(), "crash leader back=4")
			}
			return s + "until 500\n"
		},
		want: []string{"up within two seconds", "late transaction", "new leader"},
	},
	{
		name: "cancelled_at_the_end",
		play: func(r *rand.Rand) string {
			return mixedLoad(r, 30, 150) + "at 1 endings for=250 share=0.6\nat 1 looks for=300\nuntil 700\n"
		},
		want: []string{"cancelled at its end", "answer to a close look"},
	},
	{
		name: "zone_cut_off",
		play: func(r *rand.Rand) string {
			return "zones\n" + mixedLoad(r, 20, 120) + scriptLine(50+10*r.Float64(), "cutzone %s %s for=%d", oneOf(r, "a", "b"), randomCutMode(r), 25+r.IntN(40)) +
				scriptLine(60, "calloff 4") + scriptLine(120, "crash leader back=4") + "until 600\n"
		},
		want: []string{"running job cancelled"},
	},
	{
		name: "old_reports_under_a_new_leader",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 24, 150)
			for i := 1; i <= 8; i++ { // also heartbeats from earlier sessions of the agents
				s += fmt.Sprintf("at 25 keep n-%06d for=150\nat 30 copies n-%06d for=120 most=45\n", i, i)
			}
			for at := 45.0; at < 190; at += 28 {
				s += scriptLine(at, "hang %s for=24", randomMachine(r)) + scriptLine(at+10*r.Float64(), "crash leader back=%.1f", oneOf(r, 0.3, 6))
			}
			return s + scriptLine(90, "calloff 3 hang=18") + "until 700\n"
		},
		want: []string{"old heartbeat under a new leader", "new leader"},
	},
	{
		name: "teams_at_their_limits",
		play: func(r *rand.Rand) string {
			s := "fill 4\n" + loadAtLimits(r)
			for at := 45.0; at < 160; at += 30 {
				s += scriptLine(at, "cut leader %s hold for=%d", randomMachine(r), 8+r.IntN(20)) + scriptLine(at+1, "calloff 3 hang=%d", 6+r.IntN(20)) +
					scriptLine(at+1.5+3*r.Float64(), "crash leader back=4") + scriptLine(at+2, "deaf %s for=12", randomMachine(r))
			}
			return s + "until 700\n"
		},
		want:  []string{"a team at its limit", "running job cancelled", "new leader"},
		guard: "quota",
		rule:  ruleQuota,
	},
	{
		name: "refused_then_out",
		play: func(r *rand.Rand) string {
			s := "at 1 looks for=250\nat 2 submit job-000001 array 9 blue run=200\n" + mixedLoad(r, 16, 60)
			at := 60 + 10*r.Float64()
			s += scriptLine(at, "calloff 4") + scriptLine(at, "state refuse leader for=30") + scriptLine(at+1, "state down for=55") + scriptLine(at-10, "slow for=80 by=1.2")
			return s + scriptLine(at+20, "calloff 2 hang=10") + "until 600\n"
		},
		want: []string{"running job cancelled", "slow answer"},
	},
	{
		name: "cancelled_while_owners_change",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 24, 120)
			for at := 40.0; at < 160; at += 30 {
				s += scriptLine(at, "crash %s back=%.1f", randomController(r), oneOf(r, 0.3, 8))
				for k := 0; k < 5; k++ {
					s += scriptLine(at+8*r.Float64(), "calloff 1")
				}
			}
			return s + "until 600\n"
		},
		want: []string{"running job cancelled"},
	},
	{
		name: "late_transactions",
		play: func(r *rand.Rand) string {
			s := "fill 4\nat 1 looks for=300\n" + loadAtLimits(r)
			for at := 20.0; at < 200; at += 20 {
				s += scriptLine(at, "late %s for=12 share=0.5", oneOf(r, "all", randomController(r))) + scriptLine(at+15*r.Float64(), "crash %s back=%.1f", randomController(r), oneOf(r, 0.2, 4)) +
					scriptLine(at+5*r.Float64(), "calloff 1")
			}
			return s + scriptLine(210, "state refuse %s for=20", randomController(r)) + "until 700\n"
		},
		want: []string{"late transaction that changed something", "a team at its limit", "running job cancelled"},
	},
	{
		name: "many_single_task_jobs",
		play: func(r *rand.Rand) string {
			s := "rates\nat 30 looks for=60\n"
			for i := 0; i < 4*150; i++ {
				at := 10 + float64(i)/4
				s += scriptLine(at, "submit job-%06d array 1 %s run=%d gpu=0 cpu=1 spot", 1000+i, []string{"red", "blue"}[i%2], 5+r.IntN(15))
				if r.IntN(4) == 0 {
					s += scriptLine(at+12*r.Float64(), "cancel job-%06d", 1000+i)
				}
			}
			return s + scriptLine(80, "crash leader back=4") + "until 500\n"
		},
		want: []string{"new leader"},
	},
	{
		name: "mute_machines",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 20, 120) + "at 2 submit job-000001 array 9 blue run=120 spot\n"
			for i := 1; i <= 4; i++ {
				s += scriptLine(40+3*r.Float64(), "mute n-%06d for=%d", i, 30+r.IntN(40)) + scriptLine(90+r.Float64(), "mute n-%06d for=12", i+4)
			}
			return s + scriptLine(44, "calloff 6") + scriptLine(93, "calloff 3") + scriptLine(50, "crash leader back=4") + "until 600\n"
		},
		want: []string{"commands to a mute machine", "running job cancelled"},
	},
	{
		name: "leader_cut_from_state_and_peers",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 20, 100) + "at 2 submit job-000001 array 9 blue run=250 spot\n"
			for k, at := range []float64{45, 130} {
				at += 10 * r.Float64()
				isolated := fmt.Sprintf("c-%d", (k+r.IntN(2))%3)
				for _, other := range []string{"state", "c-0", "c-1", "c-2"} {
					if other != isolated {
						s += scriptLine(at, "cut %s %s %s for=50", isolated, other, randomCutMode(r))
					}
				}
				s += scriptLine(at+6, "calloff 3") + scriptLine(at+12, "calloff 2 hang=10")
			}
			return s + "until 600\n"
		},
		want:  []string{"running job cancelled"},
		guard: "fence",
		rule:  ruleRanTwice,
	},
	{
		name: "ten_leaders",
		play: func(r *rand.Rand) string {
			s := mixedLoad(r, 24, 160)
			for i := 0; i < 10; i++ {
				s += scriptLine(40+12*float64(i)+6*r.Float64(), "crash leader back=%.1f", oneOf(r, 0.2, 0.8, 4))
			}
			return s + scriptLine(80+20*r.Float64(), "state down for=18") + scriptLine(75, "calloff 2") + "until 700\n"
		},
		want: []string{"new leader"},
	},
	{
		name: "transaction_responses_lost",
		play: func(r *rand.Rand) string {
			s := "fill 4\nat 1 looks for=300\n" + loadAtLimits(r)
			for at := 20.0; at < 160; at += 25 {
				s += scriptLine(at, "lost %s for=15 share=0.5", oneOf(r, "all", randomController(r))) + scriptLine(at+15*r.Float64(), "calloff 1") + scriptLine(at+10, "crash %s back=0.2", randomController(r))
			}
			return s + "until 600\n"
		},
		want: []string{"answer lost", "answer to a close look"},
	},
	{
		name: "more_work_than_room",
		play: func(r *rand.Rand) string {
			s := "fill 1\nrates\nat 20 slow for=120 by=0.8\nat 5 odd for=120\n"
			for i := 0; i < 24; i++ {
				s += fmt.Sprintf("at %d submit job-%06d array %d blue run=%d prio=%d spot\n", 1+r.IntN(60), 100+i, 1+r.IntN(8), 10+r.IntN(20), r.IntN(4))
			}
			return s + scriptLine(70, "crash leader back=4") + "until 900\n"
		},
		want:  []string{"slow answer", "odd submission refused", "repeat answered"},
		guard: "never",
		rule:  ruleTaken,
	},
	{
		name: "zone_bound_jobs_lose_machines",
		play: func(r *rand.Rand) string {
			s := ""
			for i := 0; i < 14; i++ {
				s += fmt.Sprintf("at %d submit job-%06d array %d blue run=%d zone=%s\n", 1+r.IntN(60), 100+i, 2+r.IntN(9), 20+r.IntN(60), oneOf(r, "a", "b"))
			}
			for i := 0; i < 8; i++ {
				s += scriptLine(30+90*r.Float64(), "take %s", randomMachine(r)) + scriptLine(40+80*r.Float64(), "notice %s in=5", randomMachine(r))
			}
			return s + scriptLine(70, "crash leader back=4") + scriptLine(72, "cloud down for=25") + "until 700\n"
		},
		want: []string{"new leader"},
	},
	{
		name:  "zone_bound_arrays_across_leaders",
		play:  zoneBoundLeaderChanges,
		want:  []string{"new leader", "answer lost", "late transaction that changed something"},
		guard: "draft",
		rule:  ruleWrongPlace,
	},
	{
		name: "all_away_longer_than_a_lease",
		play: func(r *rand.Rand) string {
			return mixedLoad(r, 24, 120) + scriptLine(50+20*r.Float64(), "crash all back=%d", 21+r.IntN(20)) + scriptLine(49, "calloff 3 hang=30") + scriptLine(52, "keep %s for=1", randomMachine(r)) + "until 700\n"
		},
		want: []string{"new leader", "running job cancelled"},
	},
	{
		name: "leader_ends_beside_unreachable_machines",
		play: func(r *rand.Rand) string {
			s := "at 2 submit job-000001 array 12 blue run=150 ckpt=10\n" + mixedLoad(r, 16, 100)
			for at := 40.0; at < 150; at += 35 {
				for i := 0; i < 4; i++ {
					format := oneOf(r, "deaf %s for=%d", "hang %s for=%d", "mute %s for=%d", "cut c-1 %s drop for=%d", "cut c-2 %s hold for=%d")
					s += scriptLine(at+r.Float64(), format, randomMachine(r), 10+r.IntN(20))
				}
				s += scriptLine(at+2, "crash leader back=4") + scriptLine(at+3, "calloff 1")
			}
			return s + "until 700\n"
		},
		want: []string{"new leader"},
	},
	{
		name: "frozen_controllers",
		play: func(r *rand.Rand) string {
			s := "at 1 looks for=250\n" + mixedLoad(r, 24, 150)
			for at := 35.0; at < 170; at += 30 {
				s += scriptLine(at+5*r.Float64(), "freeze %s for=%d", oneOf(r, "leader", randomController(r)), 2+r.IntN(40)) + scriptLine(at+3+5*r.Float64(), "calloff 2")
			}
			return s + scriptLine(100, "state refuse leader for=15") + "until 700\n"
		},
		want: []string{"woken", "answer decided before a freeze"},
	},
	{
		name: "frozen_over_a_minute",
		play: func(r *rand.Rand) string {
			s := "at 1 looks for=250\nat 2 submit job-000001 array 9 blue run=200\n" + mixedLoad(r, 20, 120)
			s += scriptLine(50+5*r.Float64(), "freeze leader for=%d", 62+r.IntN(30)) + scriptLine(56, "calloff 3")
			return s + scriptLine(150+5*r.Float64(), "freeze leader for=%d", 5+r.IntN(8)) + scriptLine(152, "calloff 1") + "until 700\n"
		},
		want: []string{"woken", "new leader", "running job cancelled"},
	},
	{
		name: "two_controllers_cut",
		play: func(r *rand.Rand) string {
			// The second cut begins less than a lease after the first has ended.
			s := "at 2 submit job-000001 array 9 blue run=200 spot\n" + mixedLoad(r, 20, 120)
			for at := 45.0; at < 150; at += 40 {
				first := r.IntN(3)
				s += scriptLine(at+r.Float64(), "cut c-%d state %s for=%d", first, randomCutMode(r), 10+r.IntN(18)) +
					scriptLine(at+3*r.Float64(), "cut c-%d * %s for=%d", (first+1)%3, randomCutMode(r), 10+r.IntN(18)) + scriptLine(at+4, "calloff 2")
			}
			return s + "until 700\n"
		},
		want: []string{"running job cancelled"},
	},
}

// script returns the script of a seed. drop is the guard to disable; empty: none.
func (m *faultCombination) script(seed uint64, drop string) string {
	return fmt.Sprintf("seed %d\n", seed) + dropGuardLine(drop) + m.play(rand.New(rand.NewPCG(seed, 31)))
}

// TestCombinedFaults plays each combination of faults with three seeds. No rule may be violated, all
// jobs must reach a final state, and the faults must really have overlapped. If the combination
// names a guard, some seed must violate its rule when that guard is disabled.
func TestCombinedFaults(t *testing.T) {
	for _, m := range faultCombinations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.expectFaultsCombine(t)
			if m.guard != "" {
				expectSomeSeedViolates(t, m.rule, m.guard, func(seed uint64) string { return m.script(seed, m.guard) })
			}
		})
	}
}

// expectFaultsCombine plays three seeds of the combination and requires that each run is clean and that
// each of the occurrences listed in want happens in at least one run.
func (m *faultCombination) expectFaultsCombine(t *testing.T) {
	t.Helper()
	occurrences := map[string]int{}
	for seed := uint64(1); seed <= 3; seed++ {
		c := mustPlay(t, m.script(seed, ""))
		expectCleanRun(t, c, "seed %d", seed)
		for what, n := range c.occurrences {
			occurrences[what] += n
		}
	}
	for _, what := range m.want {
		if occurrences[what] == 0 {
			t.Errorf("the faults did not overlap: no occurrence of %s among %v", what, occurrences)
		}
	}
}
