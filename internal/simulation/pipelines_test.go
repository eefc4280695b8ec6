package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// pipelines appends random pipelines to a day: chains, diamonds and fans, some
// cancelled at their root or midway, some whose last job comes late.
func writePipelines(b *strings.Builder, r *rand.Rand, from, count int) {
	for p := 0; p < count; p++ {
		at, id := from+r.IntN(120), 1000*(p+1)
		team := []string{"red", "blue"}[r.IntN(2)]
		name := func(k int) string { return fmt.Sprintf("job-%06d", id+k) }
		job := func(k, at int, shape string, needs ...int) {
			var l []string
			for _, n := range needs {
				l = append(l, name(n))
			}
			n, extra := 1+r.IntN(4), "spot"
			if shape == "gang" {
				n, extra = 2, "onezone ckpt=5"
			}
			if len(l) > 0 {
				extra += " awaits=" + strings.Join(l, ",")
			}
			fmt.Fprintf(b, "at %d submit %s %s %d %s run=%d gpu=%d due=90 %s\n", at, name(k), shape, n, team, 4+r.IntN(12), r.IntN(2), extra)
		}
		last := 3
		job(0, at, "array")
		switch r.IntN(3) {
		case 0: // a chain with a gang
			job(1, at, "array", 0)
			job(2, at, "gang", 1)
			job(3, at, "array", 2)
		case 1: // a diamond
			job(1, at, "array", 0)
			job(2, at, "gang", 0)
			job(3, at+r.IntN(2)*40, "array", 1, 2, 1)
		case 2: // a fan
			last = 5
			for k := 1; k < 5; k++ {
				job(k, at, "array", 0)
			}
			job(5, at, "array", 1, 2, 3, 4, 0)
		}
		if r.IntN(3) == 0 {
			fmt.Fprintf(b, "at %d cancel %s\n", at+r.IntN(30), name(r.IntN(last)))
		}
	}
}

// upgradeDay makes a random day that begins with the version before. The
// controllers are replaced one by one amid troubles, one of them perhaps after it
// ended and came back as it was; then the limits fall.
func upgradeDay(seed uint64, drop string) string {
	r := rand.New(rand.NewPCG(seed, 17))
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d\nold\nnext value=1024 ops=4\n", seed)
	if drop != "" {
		fmt.Fprintf(&b, "drop %s\n", drop)
	}
	big, cpu := 60, 1
	if seed%2 == 0 { // a wider fleet, whose packs grow large
		b.WriteString("fill 40\n")
		big, cpu = 250, 8
	}
	for i := 0; i < 26; i++ {
		at, id := 1+r.IntN(200), fmt.Sprintf("job-%06d", 100+i)
		n := 1 + r.IntN(8)
		if i%5 == 0 {
			n = big + r.IntN(160) // fills packs, or has chunks of its own
		}
		if r.IntN(4) == 0 {
			fmt.Fprintf(&b, "at %d submit %s gang %d blue run=%d gpu=1 ckpt=10\n", at, id, 1+r.IntN(3), 10+r.IntN(30))
		} else {
			fmt.Fprintf(&b, "at %d submit %s array %d blue run=%d gpu=0 cpu=%d spot\n", at, id, n, 5+r.IntN(40), cpu)
		}
	}
	for i, n := range r.Perm(3) {
		at := 60 + 14*i + r.IntN(6)
		fmt.Fprintf(&b, "at %d upgrade c-%d back=%.1f\n", at, n, []float64{0.2, 4}[r.IntN(2)])
		if r.IntN(2) == 0 { // the next one ends before its turn
			fmt.Fprintf(&b, "at %d crash c-%d back=%.1f\n", at+5, r.IntN(3), []float64{0.2, 3}[r.IntN(2)])
		}
	}
	mode := func() string { return []string{"drop", "hold"}[r.IntN(2)] }
	for i := 0; i < 4; i++ {
		at, n := 50+r.IntN(120), fmt.Sprintf("c-%d", r.IntN(3))
		switch r.IntN(7) {
		case 0:
			fmt.Fprintf(&b, "at %d state down for=%d\n", at, 3+r.IntN(40))
		case 1:
			fmt.Fprintf(&b, "at %d crash all back=3\n", at)
		case 2:
			fmt.Fprintf(&b, "at %d cut %s state %s for=%d\n", at, n, mode(), 5+r.IntN(40))
		case 3:
			fmt.Fprintf(&b, "at %d cut %s * %s for=%d\n", at, n, mode(), 5+r.IntN(40))
		case 4:
			fmt.Fprintf(&b, "at %d take n-%06d\n", at, 1+r.IntN(10))
		case 5:
			fmt.Fprintf(&b, "at %d crash %s back=0.2\n", at, n)
		case 6:
			fmt.Fprintf(&b, "at %d state refuse %s for=%d\n", at, n, 5+r.IntN(30))
		}
	}
	fmt.Fprintf(&b, "at %d limits\n", 110+r.IntN(60))
	writePipelines(&b, r, 110, 8)
	b.WriteString("until 900\n")
	return b.String()
}

// TestRandomUpgrades plays days on which the version before is replaced amid
// troubles, the limits fall, and pipelines come.
func TestRandomUpgrades(t *testing.T) {
	t.Parallel()
	refused, smaller := 0, 0
	seeds := []uint64{1, 3, 5, 4, 8, 12, 14, 22}
	for i, c := range playAll(t, seeds, func(seed uint64) string { return upgradeDay(seed, "") }) {
		seed := seeds[i]
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
			t.Errorf("seed %d: broken %v, unfinished %v", seed, c.Broken, c.Unfinished())
		}
		refused, smaller = refused+c.state.refusedAsTooLarge, smaller+c.shrunkValues
		if c.state.refusedAsTooLarge > 12 {
			t.Errorf("seed %d: %d transactions were refused as too large", seed, c.state.refusedAsTooLarge)
		}
		if c.state.entries["b/format"].value == nil {
			t.Errorf("seed %d: the format was never turned on", seed)
		}
	}
	if smaller < 4 {
		t.Errorf("only %d values had to be made smaller", smaller)
	}
	t.Logf("%d values made smaller, %d transactions refused as too large in all", smaller, refused)
}

// TestRandomPipelines: pipelines on days of overlapping troubles.
func TestRandomPipelines(t *testing.T) {
	t.Parallel()
	seeds := []uint64{201, 202, 203, 204, 205, 206, 207, 208}
	for i, c := range playAll(t, seeds, func(seed uint64) string {
		var b strings.Builder
		writePipelines(&b, rand.New(rand.NewPCG(seed, 5)), 5, 14)
		return randomDay(seed, "") + b.String()
	}) {
		seed := seeds[i]
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
			t.Errorf("seed %d: broken %v, unfinished %v", seed, c.Broken, c.Unfinished())
		}
	}
}

// TestLeaderUpgraded: whoever leads is replaced first, last, or twice (the leader,
// then the one that took over, then the rest); the pipeline that comes meanwhile is
// told to come back, and runs once all are new.
func TestLeaderUpgraded(t *testing.T) {
	for _, order := range []string{"first", "last", "twice"} {
		settings := Settings()
		c := newCluster(31, settings, 0, true)
		c.StartChecks()
		lead := func() (leader string) {
			for _, p := range c.processes {
				if strings.Contains(string(c.state.entries["b/view"].value), `"l":"`+p.name+`"`) {
					leader = p.name
				}
			}
			return leader
		}
		act := func(s string) {
			if err := c.playAction(strings.Fields(s)); err != nil {
				t.Fatal(err)
			}
		}
		act("submit job-000001 array 6 blue run=60 spot")
		c.Run(30 * time.Second)
		for left := 3; left > 0; left-- {
			next := ""
			for _, p := range c.processes {
				if isLeader := p.name == lead(); p.isPreviousVersion && (next == "" || isLeader == (order != "last")) {
					next = p.name
				}
			}
			act("upgrade " + next + " back=0.5")
			if left == 2 {
				act("submit job-000002 array 2 red run=5 awaits=job-000001")
			}
			if order == "twice" {
				c.Run(c.Now + 700*time.Millisecond)
				act("crash " + next + " back=0.2")
			}
			c.Run(c.Now + 8*time.Second)
		}
		c.Run(c.Now + 90*time.Second)
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 || !c.jobs["job-000002"].accepted || c.state.entries["b/format"].value == nil {
			t.Errorf("%s: broken %v, unfinished %v", order, c.Broken, c.Unfinished())
		}
	}
}
