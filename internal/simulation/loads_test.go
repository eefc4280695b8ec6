package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"brassglade/internal/domain"
)

// scriptLine returns a script line that plays an action at a time in seconds, rounded to
// hundredths.
func scriptLine(at float64, format string, a ...any) string {
	return fmt.Sprintf("at %.2f ", at) + fmt.Sprintf(format, a...) + "\n"
}

// dropGuardLine returns a script line that disables a guard, or nothing if guard is empty.
func dropGuardLine(guard string) string {
	if guard == "" {
		return ""
	}
	return "drop " + guard + "\n"
}

// oneOf returns one of the values, drawn at random.
func oneOf[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

func randomController(r *rand.Rand) string { return fmt.Sprintf("c-%d", r.IntN(3)) }

func randomCutMode(r *rand.Rand) string { return oneOf(r, "drop", "hold") }

func randomMachine(r *rand.Rand) string { return fmt.Sprintf("n-%06d", 1+r.IntN(8)) }

// mixedLoad returns script lines that submit n jobs within the given number of seconds: short and
// long arrays and gangs of both teams.
func mixedLoad(r *rand.Rand, n, within int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		at, id, team := 1+r.IntN(within), fmt.Sprintf("job-%06d", 100+i), oneOf(r, "red", "blue")
		switch r.IntN(5) {
		case 0:
			fmt.Fprintf(&b, "at %d submit %s gang %d %s run=%d gpu=2 ckpt=10\n", at, id, 1+r.IntN(3), team, 10+r.IntN(30))
		case 1: // larger tasks, with run times that differ widely
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d gpu=3 spot\n", at, id, 2+r.IntN(2), team, 20+r.IntN(60))
		default:
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d spot\n", at, id, 1+r.IntN(9), team, 5+r.IntN(90))
		}
	}
	return b.String()
}

// loadAtLimits returns script lines that submit more small arrays than the teams' limits admit at
// once.
func loadAtLimits(r *rand.Rand) string {
	s := ""
	for i := 0; i < 20; i++ {
		s += fmt.Sprintf("at %d submit job-%06d array %d %s run=%d gpu=%d spot\n", 1+r.IntN(100), 100+i, 4+r.IntN(9), oneOf(r, "red", "red", "blue"), 8+r.IntN(40), 1+r.IntN(2))
	}
	return s
}

// zoneBoundLoad returns script lines that submit n arrays, gangs and services whose tasks must
// all be in one zone, or at most half of them in each. They need more room than one zone usually
// has free.
func zoneBoundLoad(r *rand.Rand, n, within int) string {
	var b strings.Builder
	for i := 0; i < n; i++ {
		at, id := 1+r.IntN(within), fmt.Sprintf("job-%06d", 500+i)
		switch r.IntN(6) {
		case 4:
			fmt.Fprintf(&b, "at %d submit %s gang %d blue run=%d gpu=%d ckpt=10 %s\n", at, id, 2+r.IntN(2), 10+r.IntN(30), 2+2*r.IntN(2), oneOf(r, "onezone", "spread"))
		case 5:
			fmt.Fprintf(&b, "at %d submit %s service %d blue run=1 gpu=1 %s\nat %d cancel %s\n", at, id, 2+r.IntN(3), oneOf(r, "onezone", "spread"), 300+r.IntN(200), id)
			continue
		case 0:
			fmt.Fprintf(&b, "at %d submit %s array %d blue run=%d spot spread\n", at, id, 3+r.IntN(11), 10+r.IntN(40))
		case 1:
			fmt.Fprintf(&b, "at %d submit %s array %d %s run=%d gpu=2 spot onezone\n", at, id, 2+r.IntN(5), oneOf(r, "red", "blue"), 10+r.IntN(30))
		default:
			fmt.Fprintf(&b, "at %d submit %s array %d blue run=%d spot onezone\n", at, id, 4+r.IntN(17), 10+r.IntN(40))
		}
		if r.IntN(6) == 0 {
			fmt.Fprintf(&b, "at %d cancel %s\n", at+2+r.IntN(40), id)
		}
	}
	return b.String()
}

// zoneBoundLeaderChanges returns a script of large zone-bound arrays, each booked in several
// commits, while leaders change between these, transactions are carried out late and responses to
// them are lost.
func zoneBoundLeaderChanges(r *rand.Rand) string {
	var b strings.Builder
	b.WriteString("fill 4\n")
	for i := 0; i < 14; i++ {
		rule := oneOf(r, "onezone", "spread")
		fmt.Fprintf(&b, "at %d submit job-%06d array %d blue run=%d gpu=0.25 cpu=0.5 spot %s\n", 1+r.IntN(120), 600+i, 12+r.IntN(140), 8+r.IntN(25), rule)
	}
	b.WriteString("at 3 submit job-000590 gang 3 blue run=30 gpu=2 onezone\n")
	b.WriteString("at 50 submit job-000591 service 4 red run=1 spread\nat 240 cancel job-000591\n")
	for at := 14.0; at < 150; at += 9 {
		switch r.IntN(4) {
		case 0:
			b.WriteString(scriptLine(at+3*r.Float64(), "crash leader back=%.1f", oneOf(r, 0.2, 4)))
		case 1:
			b.WriteString(scriptLine(at, "late leader for=6 share=0.6") + scriptLine(at+2+3*r.Float64(), "crash leader back=0.3"))
		case 2:
			b.WriteString(scriptLine(at, "lost all for=6 share=0.6"))
		default:
			b.WriteString(scriptLine(at, "late all for=8 share=0.5") + scriptLine(at+r.Float64(), "take %s", randomMachine(r)))
		}
	}
	return b.String() + "until 900\n"
}

// writePipelines appends count random pipelines to a script, submitted from the given second on:
// chains, diamonds and fans, some cancelled at their first job or midway, and some diamonds whose
// last job is submitted late.
func writePipelines(b *strings.Builder, r *rand.Rand, from, count int) {
	for p := 0; p < count; p++ {
		at, id := from+r.IntN(120), 1000*(p+1)
		team := oneOf(r, "red", "blue")
		name := func(k int) string { return fmt.Sprintf("job-%06d", id+k) }
		job := func(k, at int, shape string, needs ...int) {
			var names []string
			for _, n := range needs {
				names = append(names, name(n))
			}
			n, extra := 1+r.IntN(4), "spot"
			if shape == "gang" {
				n, extra = 2, "onezone ckpt=5"
			}
			if len(names) > 0 {
				extra += " awaits=" + strings.Join(names, ",")
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

// submitLargeLoad submits arrays and gangs like those of a large deployment, one job per
// interval.
func (c *Cluster) submitLargeLoad(jobs int, interval time.Duration) {
	for i := 0; i < jobs; i++ {
		c.generatedJobs++
		id := fmt.Sprintf("job-%06d", 100000+c.generatedJobs)
		team := []string{"red", "blue"}[i%2]
		spec := domain.JobSpec{ID: id, Class: "c", Team: team, Shape: domain.Array, Priority: 1, TaskCount: 20 + i%7*10,
			Request: domain.Resources{CPU: 2000, GPU: 1000, Memory: 4000}, Spot: true, Image: fmt.Sprintf("img-%d", i%8), ImageGB: 2,
			EstimatedRuntime: 40, CheckpointInterval: 10, CheckpointCost: 2}
		if i%4 == 3 {
			spec.Shape, spec.TaskCount, spec.Spot, spec.Priority, spec.Class = domain.Gang, 1+i%3, false, 2, "g"
			spec.Request = domain.Resources{CPU: 12000, GPU: 4000, Memory: 40000}
		}
		c.after(time.Duration(i)*interval, func() { c.Submit(spec, time.Duration(25+i%50)*time.Second) })
	}
}

// submitZoneBoundLoad submits arrays and gangs that are bound to one zone or spread over zones,
// one job per interval.
func (c *Cluster) submitZoneBoundLoad(jobs int, interval time.Duration) {
	for i := 0; i < jobs; i++ {
		c.generatedJobs++
		spec := domain.JobSpec{ID: fmt.Sprintf("job-%06d", 100000+c.generatedJobs), Class: "z", Team: []string{"red", "blue"}[i%2], Shape: domain.Array, Priority: 1,
			TaskCount: 30 + i%5*40, Request: domain.Resources{CPU: 2000, GPU: 1000, Memory: 4000}, Spot: true, Image: fmt.Sprintf("img-%d", i%8), ImageGB: 2,
			EstimatedRuntime: 30, CheckpointInterval: 10, CheckpointCost: 2, OneZone: i%3 != 0, Spread: i%3 == 0}
		switch i % 4 {
		case 1: // tasks that need a whole machine each: one zone rarely has that many idle machines
			spec.TaskCount = 10 + i%7*5
			spec.Request = domain.Resources{CPU: 12000, GPU: 4000, Memory: 40000}
		case 3:
			spec.Shape, spec.TaskCount, spec.Spot, spec.Priority = domain.Gang, 2+i%3, false, 2
			spec.Request = domain.Resources{CPU: 12000, GPU: 4000, Memory: 40000}
		}
		c.after(time.Duration(i)*interval, func() { c.Submit(spec, time.Duration(15+i%40)*time.Second) })
	}
}
