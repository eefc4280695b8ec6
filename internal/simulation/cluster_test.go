package simulation

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
)

var update = flag.Bool("update", false, "write the kept traces anew")

// TestKeptTraces plays each script in testdata and compares what happened with
// the trace kept below it. The traces are for reading: each tells one story.
func TestKeptTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) < 8 {
		t.Fatalf("kept traces: %d, %v", len(files), err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			script, want, _ := strings.Cut(string(b), "\n----\n")
			c, err := Play(script)
			if err != nil {
				t.Fatal(err)
			}
			if len(c.Broken) > 0 {
				t.Errorf("broken rules: %v", c.Broken)
			}
			if u := c.Unfinished(); len(u) > 0 {
				t.Errorf("not finished: %v", u)
			}
			got := strings.Join(c.Trace, "\n") + "\n"
			if *update {
				if err := os.WriteFile(f, []byte(script+"\n----\n"+got), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if got != want {
				g, x := strings.Split(got, "\n"), strings.Split(want, "\n")
				for i := range g {
					if i >= len(x) || g[i] != x[i] {
						t.Fatalf("trace differs at line %d:\n got %q\nwant %q", i+1, g[i], append(x, "(end)")[min(i, len(x))])
					}
				}
				t.Fatalf("trace ends early, after %d of %d lines", len(g), len(x))
			}
		})
	}
}

// day makes a random day of jobs and overlapping troubles.
func randomDay(seed uint64, drop string) string {
	r := rand.New(rand.NewPCG(seed, 99))
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\n", seed)
	if drop != "" {
		fmt.Fprintf(&b, "drop %s\n", drop)
	}
	team := []string{"red", "blue"}
	for i := 0; i < 22; i++ {
		at := 1 + r.IntN(220)
		id := fmt.Sprintf("job-%06d", 100+i)
		switch r.IntN(6) {
		case 0:
			fmt.Fprintf(&b, "at %d submit %s gang %d %s run=%d gpu=2 ckpt=10\n", at, id, 1+r.IntN(3), team[r.IntN(2)], 10+r.IntN(30))
		case 1:
			fmt.Fprintf(&b, "at %d submit %s gang 2 blue run=%d gpu=1 onezone spot\n", at, id, 10+r.IntN(20))
		default:
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d spot\n", at, id, 1+r.IntN(9), team[r.IntN(2)], 5+r.IntN(90))
		}
		if r.IntN(5) == 0 {
			fmt.Fprintf(&b, "at %d cancel %s\n", at+2+r.IntN(40), id)
		}
	}
	node := func() string { return fmt.Sprintf("c-%d", r.IntN(3)) }
	mode := func() string { return []string{"drop", "hold"}[r.IntN(2)] }
	for i := 0; i < 12; i++ {
		at := 30 + r.IntN(220)
		m := fmt.Sprintf("n-%06d", 1+r.IntN(10))
		switch r.IntN(14) {
		case 11:
			fmt.Fprintf(&b, "at %d deaf %s for=%d\n", at, m, 20+r.IntN(80))
		case 12:
			fmt.Fprintf(&b, "at %d copies %s for=%d most=%d\n", at, m, 20+r.IntN(60), 5+r.IntN(50))
		case 13:
			fmt.Fprintf(&b, "at %d cut c-0 state %s for=40\nat %d cut c-0 c-1 drop for=40\nat %d cut c-0 c-2 drop for=40\n", at, mode(), at, at)
		case 0:
			fmt.Fprintf(&b, "at %d crash %s back=%.1f\n", at, node(), []float64{0.2, 4}[r.IntN(2)])
		case 1:
			fmt.Fprintf(&b, "at %d crash all back=3\n", at)
		case 2:
			fmt.Fprintf(&b, "at %d cut %s state %s for=%d\n", at, node(), mode(), 5+r.IntN(40))
		case 3:
			fmt.Fprintf(&b, "at %d cut %s * %s for=%d\n", at, node(), mode(), 5+r.IntN(40))
		case 4:
			fmt.Fprintf(&b, "at %d cut c-0 c-1 %s for=30\nat %d cut c-1 c-2 %s for=25\n", at, mode(), at+2, mode())
		case 5:
			fmt.Fprintf(&b, "at %d state down for=%d\n", at, 3+r.IntN(50))
		case 6:
			fmt.Fprintf(&b, "at %d state refuse %s for=%d\n", at, node(), 5+r.IntN(40))
		case 7:
			fmt.Fprintf(&b, "at %d cloud down for=30\n", at)
		case 8:
			fmt.Fprintf(&b, "at %d hang %s for=%d\n", at, m, 5+r.IntN(30))
		case 9:
			fmt.Fprintf(&b, "at %d take %s\n", at, m)
		case 10:
			fmt.Fprintf(&b, "at %d notice %s in=6\n", at, m)
		}
	}
	b.WriteString("until 900\n")
	return b.String()
}

// playAll plays a day for each seed, several at a time: worlds share nothing.
func playAll(t *testing.T, seeds []uint64, script func(uint64) string) []*Cluster {
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

// TestRandomDays plays days of overlapping troubles: no rule may be broken, and
// every accepted job must come to its end.
func TestRandomDays(t *testing.T) {
	t.Parallel()
	starts := 0
	// The last three broke ran_twice before new sessions were told from old
	// ones (docs/incidents/own-day-sessions.md).
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 107, 132, 144}
	for i, c := range playAll(t, seeds, func(seed uint64) string { return randomDay(seed, "") }) {
		seed := seeds[i]
		starts += c.Starts()
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
			t.Errorf("seed %d: broken %v, unfinished %v", seed, c.Broken, c.Unfinished())
		}
	}
	if starts < 800 {
		t.Errorf("only %d tasks started", starts)
	}
}

// TestCheckerBites takes one guard away at a time: the same days must then
// break the rule that the guard keeps.
func TestCheckerBites(t *testing.T) {
	for guard, rule := range map[string]string{"proof": "ran_twice", "quota": "quota", "fence": "ran_twice", "": "forgotten",
		"needs": "too_early", "cascade": "orphaned", "draft": "wrong_place"} {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 20; seed++ {
				script := randomDay(seed, guard)
				if guard == "fence" {
					// An owner that hears nothing from the state service while
					// its workers still reach it, for longer than fence and lease;
					// without the cloud, whose word would settle it.
					script = fmt.Sprintf("seed %d\ndrop fence\nat 2 submit job-000001 array 12 blue run=150\n"+
						"at 2 submit job-000002 array 12 red run=12\nat 30 cloud down for=150\n"+
						"at 31 cut c-%d state hold for=90\nuntil 300\n", seed, seed%3)
				}
				if guard == "needs" || guard == "cascade" {
					var b strings.Builder
					writePipelines(&b, rand.New(rand.NewPCG(seed, 5)), 5, 14)
					script += b.String()
				}
				if guard == "draft" {
					script = zoneDay(seed, guard)
				}
				if guard == "" {
					// Nothing can be answered, and that counts for once.
					script = "blind\nat 2 submit job-000001 array 2 blue run=200\nat 20 state down for=100\nuntil 150\n"
				}
				c, err := Play(script)
				if err != nil {
					t.Fatal(err)
				}
				for _, b := range c.Broken {
					if strings.HasPrefix(b, rule) {
						return
					}
				}
			}
			t.Errorf("without guard %s no day broke %s", guard, rule)
		})
	}
}

// TestSameDayTwice: a day plays the same way each time.
func TestSameDayTwice(t *testing.T) {
	a, err := Play(randomDay(3, ""))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Play(randomDay(3, ""))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Join(a.Trace, "\n") != strings.Join(b.Trace, "\n") {
		t.Error("two plays of one day differ")
	}
}
