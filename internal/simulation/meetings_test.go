package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// meeting is two or more troubles that meet, at times that differ by seed.
type meeting struct {
	name  string
	play  func(*rand.Rand) string
	want  []string // what must have come about, or the troubles missed each other
	guard string   // without it a rule must break
	rule  string
}

// load is work for a few minutes: long and short arrays, gangs, both teams.
func mixedLoad(r *rand.Rand, n, within int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		at, id, team := 1+r.IntN(within), fmt.Sprintf("job-%06d", 100+i), []string{"red", "blue"}[r.IntN(2)]
		switch r.IntN(5) {
		case 0:
			fmt.Fprintf(&b, "at %d submit %s gang %d %s run=%d gpu=2 ckpt=10\n", at, id, 1+r.IntN(3), team, 10+r.IntN(30))
		case 1: // ends far apart
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d gpu=3 spot\n", at, id, 2+r.IntN(2), team, 20+r.IntN(60))
		default:
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d spot\n", at, id, 1+r.IntN(9), team, 5+r.IntN(90))
		}
	}
	return b.String()
}

func anyController(r *rand.Rand) string { return fmt.Sprintf("c-%d", r.IntN(3)) }
func anyCutMode(r *rand.Rand) string    { return []string{"drop", "hold"}[r.IntN(2)] }
func anyMachine(r *rand.Rand) string    { return fmt.Sprintf("n-%06d", 1+r.IntN(8)) }

// line writes one line of a script at a time that may be a fraction.
func scriptLine(at float64, format string, a ...any) string {
	return fmt.Sprintf("at %.2f ", at) + fmt.Sprintf(format, a...) + "\n"
}

// gap: the state service refuses one controller, others confirm cancellations, then
// it is out for all for longer than a cancellation has.
func refusalGap(r *rand.Rand, node string) string {
	at := 60 + 10*r.Float64()
	s := ""
	for i := 1; i <= 4; i++ {
		s += fmt.Sprintf("at 2 submit job-%06d array 6 blue run=250\n", i)
	}
	s += scriptLine(at, "state refuse %s for=%d", node, 10+r.IntN(10))
	for i := 1; i <= 4; i++ {
		s += scriptLine(at+0.05+2*r.Float64(), "cancel job-%06d", i)
	}
	return s + scriptLine(at+2.2+0.7*r.Float64(), "state down for=%d", 50+r.IntN(30))
}

// meetings are those of the users' list; docs/meetings.md has a row for each.
var meetings = []meeting{
	{"gap", func(r *rand.Rand) string { return refusalGap(r, anyController(r)) + "until 320\n" },
		[]string{"outage while cancelled tasks are on"}, "fence", "ran_cancelled"},
	{"gap_with_starts_under_way", func(r *rand.Rand) string {
		// Bookings whose runs the old leader hasn't sent: its machines are cut off from
		// it for a moment, within their lease.
		n := anyController(r)
		s := "at 2 submit job-000100 array 12 blue run=55\n"
		s += scriptLine(68.8+0.4*r.Float64(), "cut %s * drop for=%d", n, 14+r.IntN(2))
		for i := 1; i <= 6; i++ {
			s += scriptLine(69.2, "submit job-%06d array 4 blue run=60", i) + scriptLine(70.1+1.5*r.Float64(), "cancel job-%06d", i)
		}
		return s + scriptLine(70, "state refuse %s for=14", n) + scriptLine(72, "state down for=60") + "until 320\n"
	}, nil, "fence", "late_start"},
	{"answers_held_up", func(r *rand.Rand) string {
		s := mixedLoad(r, 16, 120) + "at 2 submit job-000001 array 9 blue run=120 spot\n"
		for i := 0; i < 6; i++ {
			at := 30 + 120*r.Float64()
			s += scriptLine(at, "cut %s %s hold for=%d", anyController(r), anyMachine(r), 2+r.IntN(12)) + scriptLine(at+r.Float64(), "hang %s for=%d", anyMachine(r), 2+r.IntN(22)) +
				scriptLine(at+1, "crash leader back=%.1f", []float64{0.3, 4}[r.IntN(2)])
		}
		return s + scriptLine(100, "calloff 3 hang=15") + "until 600\n"
	}, []string{"new leader", "running job called off"}, "", ""},
	{"small_jobs_across_leaders", func(r *rand.Rand) string {
		s := "fill 1\n"
		for i := 0; i < 16; i++ {
			s += fmt.Sprintf("at %d submit job-%06d array %d blue run=%d gpu=%d spot\n", 1+r.IntN(150), 1+i, 2+r.IntN(2), 8+r.IntN(40), 2+r.IntN(2))
		}
		for at := 40; at < 200; at += 25 {
			s += scriptLine(float64(at)+5*r.Float64(), "crash leader back=%.1f", []float64{0.2, 4, 15}[r.IntN(3)])
		}
		return s + "until 700\n"
	}, []string{"new leader"}, "", ""},
	{"close_looks", func(r *rand.Rand) string {
		s := mixedLoad(r, 30, 100) + "at 1 looks for=300\nat 20 endings for=100 share=0.4\n"
		for i := 0; i < 10; i++ {
			s += scriptLine(3+110*r.Float64(), "cancel job-%06d", 100+r.IntN(30))
		}
		return s + scriptLine(40, "lost all for=60 share=0.3") + scriptLine(60, "cut %s state hold for=5", anyController(r)) + scriptLine(80, "slow for=20 by=0.9") + "until 500\n"
	}, []string{"answer to a close look", "answer lost", "slow answer", "cancelled at its end"}, "index", "went_back"},
	{"hand_over_and_back", func(r *rand.Rand) string {
		s := mixedLoad(r, 20, 150)
		for at := 30.0; at < 150; at += 20 {
			s += scriptLine(at, "crash leader back=%.1f", 0.1+r.Float64()) + scriptLine(at+2*r.Float64(), "crash leader back=0.2")
		}
		return s + scriptLine(80, "crash all back=0.3") + scriptLine(110, "crash all back=25") + scriptLine(111, "crash c-0 back=0.1") + scriptLine(160, "crash all back=0.1") +
			scriptLine(160.5, "crash %s back=3", anyController(r)) + "until 700\n"
	}, []string{"new leader"}, "", ""},
	{"quick_machines_late_writes", func(r *rand.Rand) string {
		s := "at 0 quick for=200\n" + mixedLoad(r, 20, 60)
		for at := 5.0; at < 60; at += 12 {
			s += scriptLine(at, "late all for=6 share=0.5") + scriptLine(at+2+3*r.Float64(), "crash leader back=4")
		}
		return s + "until 500\n"
	}, []string{"up within two seconds", "late transaction", "new leader"}, "", ""},
	{"cancelled_at_the_end", func(r *rand.Rand) string {
		return mixedLoad(r, 30, 150) + "at 1 endings for=250 share=0.6\nat 1 looks for=300\nuntil 700\n"
	}, []string{"cancelled at its end", "answer to a close look"}, "", ""},
	{"zone_cut_off", func(r *rand.Rand) string {
		return "zones\n" + mixedLoad(r, 20, 120) + scriptLine(50+10*r.Float64(), "cutzone %s %s for=%d", []string{"a", "b"}[r.IntN(2)], anyCutMode(r), 25+r.IntN(40)) +
			scriptLine(60, "calloff 4") + scriptLine(120, "crash leader back=4") + "until 600\n"
	}, []string{"running job called off"}, "", ""},
	{"old_reports_under_a_new_leader", func(r *rand.Rand) string {
		s := mixedLoad(r, 24, 150)
		for i := 1; i <= 8; i++ { // some from an earlier session, too
			s += fmt.Sprintf("at 25 keep n-%06d for=150\nat 30 copies n-%06d for=120 most=45\n", i, i)
		}
		for at := 45.0; at < 190; at += 28 {
			s += scriptLine(at, "hang %s for=24", anyMachine(r)) + scriptLine(at+10*r.Float64(), "crash leader back=%.1f", []float64{0.3, 6}[r.IntN(2)])
		}
		return s + scriptLine(90, "calloff 3 hang=18") + "until 700\n"
	}, []string{"old report under a new leader", "new leader"}, "", ""},
	{"teams_at_their_limits", func(r *rand.Rand) string {
		s := "fill 4\n" + loadAtLimits(r)
		for at := 45.0; at < 160; at += 30 {
			s += scriptLine(at, "cut leader %s hold for=%d", anyMachine(r), 8+r.IntN(20)) + scriptLine(at+1, "calloff 3 hang=%d", 6+r.IntN(20)) +
				scriptLine(at+1.5+3*r.Float64(), "crash leader back=4") + scriptLine(at+2, "deaf %s for=12", anyMachine(r))
		}
		return s + "until 700\n"
	}, []string{"a team at its limit", "running job called off", "new leader"}, "quota", "quota"},
	{"refused_then_out", func(r *rand.Rand) string {
		s := "at 1 looks for=250\nat 2 submit job-000001 array 9 blue run=200\n" + mixedLoad(r, 16, 60)
		at := 60 + 10*r.Float64()
		s += scriptLine(at, "calloff 4") + scriptLine(at, "state refuse leader for=30") + scriptLine(at+1, "state down for=55") + scriptLine(at-10, "slow for=80 by=1.2")
		return s + scriptLine(at+20, "calloff 2 hang=10") + "until 600\n"
	}, []string{"running job called off", "slow answer"}, "", ""},
	{"cancelled_while_work_changes_hands", func(r *rand.Rand) string {
		s := mixedLoad(r, 24, 120)
		for at := 40.0; at < 160; at += 30 {
			s += scriptLine(at, "crash %s back=%.1f", anyController(r), []float64{0.3, 8}[r.IntN(2)])
			for k := 0; k < 5; k++ {
				s += scriptLine(at+8*r.Float64(), "calloff 1")
			}
		}
		return s + "until 600\n"
	}, []string{"running job called off"}, "", ""},
	{"late_transactions", func(r *rand.Rand) string {
		s := "fill 4\nat 1 looks for=300\n" + loadAtLimits(r)
		for at := 20.0; at < 200; at += 20 {
			s += scriptLine(at, "late %s for=12 share=0.5", []string{"all", anyController(r)}[r.IntN(2)]) + scriptLine(at+15*r.Float64(), "crash %s back=%.1f", anyController(r), []float64{0.2, 4}[r.IntN(2)]) +
				scriptLine(at+5*r.Float64(), "calloff 1")
		}
		return s + scriptLine(210, "state refuse %s for=20", anyController(r)) + "until 700\n"
	}, []string{"late transaction that changed something", "a team at its limit", "running job called off"}, "", ""},
	{"swarm", func(r *rand.Rand) string {
		s := "rates\nat 30 looks for=60\n"
		for i := 0; i < 4*150; i++ {
			at := 10 + float64(i)/4
			s += scriptLine(at, "submit job-%06d array 1 %s run=%d gpu=0 cpu=1 spot", 1000+i, []string{"red", "blue"}[i%2], 5+r.IntN(15))
			if r.IntN(4) == 0 {
				s += scriptLine(at+12*r.Float64(), "cancel job-%06d", 1000+i)
			}
		}
		return s + scriptLine(80, "crash leader back=4") + "until 500\n"
	}, []string{"new leader"}, "", ""},
	{"mute_machines", func(r *rand.Rand) string {
		s := mixedLoad(r, 20, 120) + "at 2 submit job-000001 array 9 blue run=120 spot\n"
		for i := 1; i <= 4; i++ {
			s += scriptLine(40+3*r.Float64(), "mute n-%06d for=%d", i, 30+r.IntN(40)) + scriptLine(90+r.Float64(), "mute n-%06d for=12", i+4)
		}
		return s + scriptLine(44, "calloff 6") + scriptLine(93, "calloff 3") + scriptLine(50, "crash leader back=4") + "until 600\n"
	}, []string{"orders to a mute machine", "running job called off"}, "", ""},
	{"leader_cut_from_state_and_peers", func(r *rand.Rand) string {
		s := mixedLoad(r, 20, 100) + "at 2 submit job-000001 array 9 blue run=250 spot\n"
		for k, at := range []float64{45, 130} {
			at += 10 * r.Float64()
			n := fmt.Sprintf("c-%d", (k+r.IntN(2))%3)
			for _, o := range []string{"state", "c-0", "c-1", "c-2"} {
				if o != n {
					s += scriptLine(at, "cut %s %s %s for=50", n, o, anyCutMode(r))
				}
			}
			s += scriptLine(at+6, "calloff 3") + scriptLine(at+12, "calloff 2 hang=10")
		}
		return s + "until 600\n"
	}, []string{"running job called off"}, "fence", "ran_twice"},
	{"ten_leaders", func(r *rand.Rand) string {
		s := mixedLoad(r, 24, 160)
		for i := 0; i < 10; i++ {
			s += scriptLine(40+12*float64(i)+6*r.Float64(), "crash leader back=%.1f", []float64{0.2, 0.8, 4}[r.IntN(3)])
		}
		return s + scriptLine(80+20*r.Float64(), "state down for=18") + scriptLine(75, "calloff 2") + "until 700\n"
	}, []string{"new leader"}, "", ""},
	{"answers_lost", func(r *rand.Rand) string {
		s := "fill 4\nat 1 looks for=300\n" + loadAtLimits(r)
		for at := 20.0; at < 160; at += 25 {
			s += scriptLine(at, "lost %s for=15 share=0.5", []string{"all", anyController(r)}[r.IntN(2)]) + scriptLine(at+15*r.Float64(), "calloff 1") + scriptLine(at+10, "crash %s back=0.2", anyController(r))
		}
		return s + "until 600\n"
	}, []string{"answer lost", "answer to a close look"}, "", ""},
	{"more_work_than_room", func(r *rand.Rand) string {
		s := "fill 1\nrates\nat 20 slow for=120 by=0.8\nat 5 odd for=120\n"
		for i := 0; i < 24; i++ {
			s += fmt.Sprintf("at %d submit job-%06d array %d blue run=%d prio=%d spot\n", 1+r.IntN(60), 100+i, 1+r.IntN(8), 10+r.IntN(20), r.IntN(4))
		}
		return s + scriptLine(70, "crash leader back=4") + "until 900\n"
	}, []string{"slow answer", "odd submission refused", "repeat answered"}, "never", "taken"},
	{"zone_bound_jobs_lose_machines", func(r *rand.Rand) string {
		s := ""
		for i := 0; i < 14; i++ {
			s += fmt.Sprintf("at %d submit job-%06d array %d blue run=%d zone=%s\n", 1+r.IntN(60), 100+i, 2+r.IntN(9), 20+r.IntN(60), []string{"a", "b"}[r.IntN(2)])
		}
		for i := 0; i < 8; i++ {
			s += scriptLine(30+90*r.Float64(), "take %s", anyMachine(r)) + scriptLine(40+80*r.Float64(), "notice %s in=5", anyMachine(r))
		}
		return s + scriptLine(70, "crash leader back=4") + scriptLine(72, "cloud down for=25") + "until 700\n"
	}, []string{"new leader"}, "", ""},
	{"zone_bound_arrays_across_leaders", zoneBoundAcrossLeaders,
		[]string{"new leader", "answer lost", "late transaction that changed something"}, "draft", "wrong_place"},
	{"all_away_longer_than_a_lease", func(r *rand.Rand) string {
		return mixedLoad(r, 24, 120) + scriptLine(50+20*r.Float64(), "crash all back=%d", 21+r.IntN(20)) + scriptLine(49, "calloff 3 hang=30") + scriptLine(52, "keep %s for=1", anyMachine(r)) + "until 700\n"
	}, []string{"new leader", "running job called off"}, "", ""},
	{"leader_ends_beside_unreachable_machines", func(r *rand.Rand) string {
		s := "at 2 submit job-000001 array 12 blue run=150 ckpt=10\n" + mixedLoad(r, 16, 100)
		for at := 40.0; at < 150; at += 35 {
			for i := 0; i < 4; i++ {
				what := []string{"deaf %s for=%d", "hang %s for=%d", "mute %s for=%d", "cut c-1 %s drop for=%d", "cut c-2 %s hold for=%d"}[r.IntN(5)]
				s += scriptLine(at+r.Float64(), what, anyMachine(r), 10+r.IntN(20))
			}
			s += scriptLine(at+2, "crash leader back=4") + scriptLine(at+3, "calloff 1")
		}
		return s + "until 700\n"
	}, []string{"new leader"}, "", ""},
	{"frozen_controllers", func(r *rand.Rand) string {
		s := "at 1 looks for=250\n" + mixedLoad(r, 24, 150)
		for at := 35.0; at < 170; at += 30 {
			s += scriptLine(at+5*r.Float64(), "freeze %s for=%d", []string{"leader", anyController(r)}[r.IntN(2)], 2+r.IntN(40)) + scriptLine(at+3+5*r.Float64(), "calloff 2")
		}
		return s + scriptLine(100, "state refuse leader for=15") + "until 700\n"
	}, []string{"woken", "answer decided before a freeze"}, "", ""},
	{"frozen_over_a_minute", func(r *rand.Rand) string {
		s := "at 1 looks for=250\nat 2 submit job-000001 array 9 blue run=200\n" + mixedLoad(r, 20, 120)
		s += scriptLine(50+5*r.Float64(), "freeze leader for=%d", 62+r.IntN(30)) + scriptLine(56, "calloff 3")
		return s + scriptLine(150+5*r.Float64(), "freeze leader for=%d", 5+r.IntN(8)) + scriptLine(152, "calloff 1") + "until 700\n"
	}, []string{"woken", "new leader", "running job called off"}, "", ""},
	{"two_controllers_cut", func(r *rand.Rand) string {
		// The second spell begins less than a lease after the first has ended.
		s := "at 2 submit job-000001 array 9 blue run=200 spot\n" + mixedLoad(r, 20, 120)
		for at := 45.0; at < 150; at += 40 {
			a := r.IntN(3)
			s += scriptLine(at+r.Float64(), "cut c-%d state %s for=%d", a, anyCutMode(r), 10+r.IntN(18)) +
				scriptLine(at+3*r.Float64(), "cut c-%d * %s for=%d", (a+1)%3, anyCutMode(r), 10+r.IntN(18)) + scriptLine(at+4, "calloff 2")
		}
		return s + "until 700\n"
	}, []string{"running job called off"}, "", ""},
}

// troubles are one line or two each, for days that pair any two of them.
var pairableTroubles = []func(r *rand.Rand, at float64) string{
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "crash leader back=%.1f", []float64{0.2, 4}[r.IntN(2)])
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "crash %s back=%.1f", anyController(r), []float64{0.2, 4}[r.IntN(2)])
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "crash all back=%.1f", []float64{0.3, 3, 24}[r.IntN(3)])
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cut %s state %s for=%d", anyController(r), anyCutMode(r), 5+r.IntN(25))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cut %s * %s for=%d", anyController(r), anyCutMode(r), 5+r.IntN(25))
	},
	func(r *rand.Rand, at float64) string { return scriptLine(at, "state down for=%d", 3+r.IntN(45)) },
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "state refuse leader for=%d", 5+r.IntN(25))
	},
	func(r *rand.Rand, at float64) string { return scriptLine(at, "slow for=%d by=1.4", 5+r.IntN(25)) },
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "freeze %s for=%d", anyController(r), 2+r.IntN(30))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "late all for=%d share=0.4", 5+r.IntN(20))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "lost all for=%d share=0.4", 5+r.IntN(20))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cloud down for=30") + scriptLine(at+1, "take %s", anyMachine(r))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "hang %s for=%d", anyMachine(r), 3+r.IntN(25)) + scriptLine(at+1, "notice %s in=6", anyMachine(r))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "deaf %s for=%d", anyMachine(r), 5+r.IntN(35)) + scriptLine(at, "mute %s for=%d", anyMachine(r), 5+r.IntN(35))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "keep %s for=30", anyMachine(r)) + scriptLine(at+6, "crash leader back=4") + scriptLine(at, "copies %s for=20 most=40", anyMachine(r))
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "calloff %d hang=%d", 2+r.IntN(3), 25*r.IntN(2))
	},
	func(r *rand.Rand, at float64) string { return scriptLine(at, "endings for=20 share=0.7") },
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "odd for=20") + scriptLine(at, "quick for=20")
	},
	func(r *rand.Rand, at float64) string {
		return scriptLine(at, "cutzone %s %s for=%d", []string{"a", "b"}[r.IntN(2)], anyCutMode(r), 5+r.IntN(35))
	},
}

// TestRandomMeetings pairs troubles at random, five pairs a day, while users look
// closely at all that happens. On the last two days jobs were left waiting beside room.
func TestRandomMeetings(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 138, 229} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := pairedTroublesDay(seed)
			c, err := Play(s)
			if err != nil {
				t.Fatal(err)
			}
			if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
				t.Errorf("broken %v, unfinished %v on\n%s", c.Broken, c.Unfinished(), s)
			}
			if c.occurrences["answer to a close look"] < 100 || c.Starts() < 40 {
				t.Errorf("%d starts, %v", c.Starts(), c.occurrences)
			}
		})
	}
}

func pairedTroublesDay(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 53))
	s := fmt.Sprintf("seed %d\nat 1 looks for=600\n", seed)
	if seed%3 == 0 {
		s += "zones\n"
	}
	s += mixedLoad(r, 26, 190)
	for at := 35.0; at < 200; at += 38 {
		a, b := r.IntN(len(pairableTroubles)), r.IntN(len(pairableTroubles))
		s += pairableTroubles[a](r, at) + pairableTroubles[b](r, at+3*r.Float64())
	}
	return s + "until 900\n"
}

// atLimits is more small work than the teams' limits take.
func loadAtLimits(r *rand.Rand) string {
	s := ""
	for i := 0; i < 20; i++ {
		s += fmt.Sprintf("at %d submit job-%06d array %d %s run=%d gpu=%d spot\n", 1+r.IntN(100), 100+i, 4+r.IntN(9), []string{"red", "red", "blue"}[r.IntN(3)], 8+r.IntN(40), 1+r.IntN(2))
	}
	return s
}

func (m *meeting) script(seed uint64, drop string) string {
	s := fmt.Sprintf("seed %d\n", seed)
	if drop != "" {
		s += "drop " + drop + "\n"
	}
	return s + m.play(rand.New(rand.NewPCG(seed, 31)))
}

// TestCheckerSeesWaiting: without bookings a job waits beside room for it, and its
// class and team go unserved, while a gang, which the leader books, is served.
func TestCheckerSeesWaiting(t *testing.T) {
	c, err := Play("drop book\nat 2 submit job-000001 array 2 blue run=20\nat 2 submit job-000002 gang 1 red run=20\nuntil 300\n")
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range []string{"left_waiting: job-000001", "starved: job-000001", "unserved: 0 of 1 of team blue"} {
		if !slices.ContainsFunc(c.Broken, func(s string) bool { return strings.HasPrefix(s, rule) }) {
			t.Errorf("%s is not among %v", rule, c.Broken)
		}
	}
	if slices.ContainsFunc(c.Broken, func(s string) bool { return strings.Contains(s, "job-000002") || strings.Contains(s, "team red") }) {
		t.Errorf("%v", c.Broken)
	}
}

// TestMistakenJobs: jobs that fail on every machine until they are cancelled mark no
// machine as sick, while one that is sick is still found beside them; others are
// served, and the failing ones back off.
func TestMistakenJobs(t *testing.T) {
	found := 0
	for _, seed := range []uint64{1, 2, 3} {
		s := fmt.Sprintf("seed %d\n", seed)
		for i := 1; i <= 6; i++ {
			s += fmt.Sprintf("at %d submit job-%06d array %d %s run=20 mistake spot\nat 200 cancel job-%06d\n", 3*i, i, 4+2*i, []string{"red", "blue"}[i%2], i)
			s += fmt.Sprintf("at %d submit job-%06d array 6 %s run=15 spot\n", 5*i, 100+i, []string{"red", "blue"}[i%2])
			s += fmt.Sprintf("at %d submit job-%06d array 6 %s run=15 spot\n", 20+5*i, 200+i, []string{"red", "blue"}[i%2])
		}
		c, err := Play(s + "at 25 sick n-000001\nuntil 400\n")
		if err != nil {
			t.Fatal(err)
		}
		var sick []string
		for _, m := range c.cordons {
			if strings.Contains(m, "sick") {
				sick = append(sick, m)
			}
		}
		tries, others := 0, 0
		for _, l := range c.Trace {
			if !strings.Contains(l, ": error") {
				continue
			}
			tries++
			if strings.Contains(l, "n-000001") && !strings.Contains(l, "job-00000") {
				others++ // of jobs that are done elsewhere
			}
		}
		if len(sick) > 1 || len(sick) == 1 && !strings.Contains(sick[0], "n-000001") || len(sick) == 0 && others >= 4 {
			t.Errorf("seed %d: marked as sick: %v", seed, sick)
		}
		found += len(sick)
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 || tries > 700 {
			t.Errorf("seed %d: broken %v, unfinished %v, %d tries", seed, c.Broken, c.Unfinished(), tries)
		}
		t.Logf("seed %d: %d tries of 66 mistaken tasks in 200 s, %d changes", seed, tries, c.state.changes)
	}
	if found < 2 {
		t.Errorf("the sick machine was found on %d of 3 days", found)
	}
}

// TestMeetings brings about each meeting of troubles that the users list, three
// times: no rule may break, all work comes to its end, and the troubles must
// really have met. Where a guard is named, some such day breaks its rule without it.
func TestMeetings(t *testing.T) {
	for _, m := range meetings {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			met := map[string]int{}
			for seed := uint64(1); seed <= 3; seed++ {
				c, err := Play(m.script(seed, ""))
				if err != nil {
					t.Fatal(err)
				}
				if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
					t.Errorf("seed %d: broken %v, unfinished %v", seed, c.Broken, c.Unfinished())
				}
				for k, n := range c.occurrences {
					met[k] += n
				}
			}
			for _, k := range m.want {
				if met[k] == 0 {
					t.Errorf("the troubles missed each other: no %s among %v", k, met)
				}
			}
			if m.guard == "" {
				return
			}
			for seed := uint64(1); seed <= 20; seed++ {
				c, err := Play(m.script(seed, m.guard))
				if err != nil {
					t.Fatal(err)
				}
				for _, b := range c.Broken {
					if strings.HasPrefix(b, m.rule) {
						return
					}
				}
			}
			t.Errorf("without %s no day broke %s", m.guard, m.rule)
		})
	}
}

// TestLateWritesAmidAnUpgrade: transactions are carried out late, or only their answers
// are lost, while the version before is replaced, values are made smaller and the
// limits fall.
func TestLateWritesAmidAnUpgrade(t *testing.T) {
	t.Parallel()
	seeds, late := []uint64{3, 5, 8}, 0
	for i, c := range playAll(t, seeds, func(seed uint64) string {
		return upgradeDay(seed, "") + "at 70 late all for=25 share=0.4\nat 105 late all for=60 share=0.3\nat 170 lost all for=40 share=0.3\n"
	}) {
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
			t.Errorf("seed %d: broken %v, unfinished %v", seeds[i], c.Broken, c.Unfinished())
		}
		late += c.occurrences["late transaction that changed something"]
	}
	if late == 0 {
		t.Error("no transaction came late and changed something")
	}
}
