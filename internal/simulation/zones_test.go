package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// zoneBound is a load of arrays and services whose tasks must all be in one zone, or at
// most half of them in each, larger than the room that a zone mostly has.
func zoneBoundLoad(r *rand.Rand, n, within int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		at, id := 1+r.IntN(within), fmt.Sprintf("job-%06d", 500+i)
		switch r.IntN(6) {
		case 4:
			fmt.Fprintf(&b, "at %d submit %s gang %d blue run=%d gpu=%d ckpt=10 %s\n", at, id, 2+r.IntN(2), 10+r.IntN(30), 2+2*r.IntN(2), []string{"onezone", "spread"}[r.IntN(2)])
		case 5:
			fmt.Fprintf(&b, "at %d submit %s service %d blue run=1 gpu=1 %s\nat %d cancel %s\n", at, id, 2+r.IntN(3), []string{"onezone", "spread"}[r.IntN(2)], 300+r.IntN(200), id)
			continue
		case 0:
			fmt.Fprintf(&b, "at %d submit %s array %d blue run=%d spot spread\n", at, id, 3+r.IntN(11), 10+r.IntN(40))
		case 1:
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d gpu=2 spot onezone\n", at, id, 2+r.IntN(5), []string{"red", "blue"}[r.IntN(2)], 10+r.IntN(30))
		default:
			fmt.Fprintf(&b, "at %d submit %s array %d blue run=%d spot onezone\n", at, id, 4+r.IntN(17), 10+r.IntN(40))
		}
		if r.IntN(6) == 0 {
			fmt.Fprintf(&b, "at %d cancel %s\n", at+2+r.IntN(40), id)
		}
	}
	return b.String()
}

// zoneDay makes a random day of zone-bound jobs among others, with overlapping troubles.
func zoneDay(seed uint64, drop string) string {
	return randomDay(seed, drop) + zoneBoundLoad(rand.New(rand.NewPCG(seed, 61)), 16, 200)
}

// TestRandomZoneDays: on days of overlapping troubles no task starts in a zone that its
// job's other tasks rule out, and all jobs come to their end. In production two arrays
// ran in two zones: docs/incidents/production-wrong-place.md.
func TestRandomZoneDays(t *testing.T) {
	t.Parallel()
	// On the last three, jobs waited for ever for machines in zones that they can't use.
	starts, seeds := 0, []uint64{301, 302, 303, 304, 305, 306, 307, 308, 309, 310, 311, 312, 1058, 1110, 1254}
	for i, c := range playAll(t, seeds, func(seed uint64) string { return zoneDay(seed, "") }) {
		starts += c.Starts()
		if len(c.Broken) > 0 || len(c.Unfinished()) > 0 {
			t.Errorf("seed %d: %d broken, %v; unfinished %v", seeds[i], len(c.Broken), c.Broken, c.Unfinished())
		}
	}
	if starts < 1500 {
		t.Errorf("only %d tasks started", starts)
	}
}

// zoneAcross is a load of large zone-bound arrays, each booked in several commits, while
// leaders change between these, transactions come late and answers to them are lost.
func zoneBoundAcrossLeaders(r *rand.Rand) string {
	var b strings.Builder
	b.WriteString("fill 4\n")
	for i := 0; i < 14; i++ {
		rule := []string{"onezone", "spread"}[r.IntN(2)]
		fmt.Fprintf(&b, "at %d submit job-%06d array %d blue run=%d gpu=0.25 cpu=0.5 spot %s\n", 1+r.IntN(120), 600+i, 12+r.IntN(140), 8+r.IntN(25), rule)
	}
	b.WriteString("at 3 submit job-000590 gang 3 blue run=30 gpu=2 onezone\n")
	b.WriteString("at 50 submit job-000591 service 4 red run=1 spread\nat 240 cancel job-000591\n")
	for at := 14.0; at < 150; at += 9 {
		switch r.IntN(4) {
		case 0:
			b.WriteString(scriptLine(at+3*r.Float64(), "crash leader back=%.1f", []float64{0.2, 4}[r.IntN(2)]))
		case 1:
			b.WriteString(scriptLine(at, "late leader for=6 share=0.6") + scriptLine(at+2+3*r.Float64(), "crash leader back=0.3"))
		case 2:
			b.WriteString(scriptLine(at, "lost all for=6 share=0.6"))
		default:
			b.WriteString(scriptLine(at, "late all for=8 share=0.5") + scriptLine(at+r.Float64(), "take %s", anyMachine(r)))
		}
	}
	return b.String() + "until 900\n"
}

// TestZoneBoundJobsGetMachines: where the room is in zones that a job can't use, machines
// are rented where it can. Before, that room counted for it: the gangs never began, and the
// services never got their last tasks.
func TestZoneBoundJobsGetMachines(t *testing.T) {
	for name, x := range map[string]struct {
		warm map[string]int // machines that are there, by zone
		job  string
		n    int
	}{
		"gang spread, room in one zone":        {map[string]int{"a": 4}, "gang 4 blue run=20 gpu=4 spread", 4},
		"gang together, room split":            {map[string]int{"a": 2, "b": 2}, "gang 4 blue run=20 gpu=4 onezone", 4},
		"service spread, room in one zone":     {map[string]int{"a": 4}, "service 4 blue run=20 gpu=4 spread", 4},
		"service together, two of five placed": {map[string]int{"a": 2, "b": 2}, "service 5 blue run=20 gpu=4 onezone", 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script, id := "seed 3\n", 100
			for _, zone := range []string{"a", "b"} {
				for n := x.warm[zone]; n > 0; n-- {
					script += fmt.Sprintf("at 1 submit job-%06d gang 1 blue run=20 gpu=4 zone=%s\n", id, zone)
					id++
				}
			}
			c, err := Play(script + "at 40 submit job-000001 " + x.job + "\nuntil 400\n")
			if err != nil {
				t.Fatal(err)
			}
			runs := c.firstRuns("job-000001")
			if len(runs) != x.n || runs[x.n-1] > 70 {
				t.Errorf("ran at %v, submitted at 40", runs)
			}
			if len(c.Broken) > 0 {
				t.Errorf("broken %v", c.Broken)
			}
		})
	}
}

// TestSmallJobBesideSpreadService: a service spread over zones and a gang for which their
// team's limit has no room must not keep a small array of that team waiting beside room.
func TestSmallJobBesideSpreadService(t *testing.T) {
	c, err := Play("seed 3\nat 1 submit job-000001 service 4 red run=1 gpu=1 spread\n" +
		"at 20 submit job-000002 gang 3 red run=20 gpu=4\n" +
		"at 30 submit job-000003 array 4 red run=10 gpu=1 spot\nat 600 cancel job-000001\nuntil 800\n")
	if err != nil {
		t.Fatal(err)
	}
	if runs := c.firstRuns("job-000003"); len(runs) != 4 || runs[3] > 240 {
		t.Errorf("ran at %v, submitted at 30", runs)
	}
}
