package finaljobs

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"brassglade/internal/domain"
)

// randomID returns IDs of all forms, many of them alike but for leading zeros.
func randomID(rng *rand.Rand) string {
	switch rng.IntN(6) {
	case 0:
		return fmt.Sprintf("job-%020d", rng.Uint64())
	case 1:
		return fmt.Sprintf("job-%018d", rng.Int64N(1e18))
	case 2:
		return fmt.Sprintf("job-%d", rng.IntN(300)) // also with fewer digits than users may choose
	}
	return fmt.Sprintf("job-%0*d", 6+rng.IntN(3), rng.IntN(300))
}

// TestSetAgreesWithMap compares the set with a plain map over random outcomes, some of them added
// from another set, as after a second snapshot.
func TestSetAgreesWithMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	want, set, second := map[string]Outcome{}, New(), New()
	for i := range 4000 {
		id := randomID(rng)
		outcome := Outcome{State: domain.StateDone, TaskCount: 1 + rng.IntN(3), DoneAtMS: int64(rng.IntN(100))}
		if rng.IntN(3) == 0 {
			outcome = Outcome{State: domain.StateCancelled, TaskCount: 1 + rng.IntN(3)}
		}
		if known, ok := want[id]; ok {
			outcome = known // an outcome never changes
		}
		want[id] = outcome
		if i%3 == 0 {
			second.Add(id, outcome)
		} else {
			set.Add(id, outcome)
		}
	}
	set.AddAll(second)
	if set.Len() != len(want) {
		t.Errorf("the set has %d jobs, want %d", set.Len(), len(want))
	}
	for range 4000 {
		id := randomID(rng)
		outcome, known := want[id]
		if got, ok := set.Get(id); ok != known || got != outcome || set.Has(id) != known {
			t.Fatalf("%s: %+v, %v, want %+v, %v", id, got, ok, outcome, known)
		}
	}
	set.ForgetDoneTimes(50)
	for id, outcome := range want {
		got, _ := set.Get(id)
		if _, parsed := parse(id); parsed && outcome.DoneAtMS < 50 && got.DoneAtMS != 0 || outcome.DoneAtMS >= 50 && got.DoneAtMS != outcome.DoneAtMS {
			t.Errorf("%s: done at %d, want %d unless that is forgotten", id, got.DoneAtMS, outcome.DoneAtMS)
		}
	}
}

// TestSetTakesLittleMemory guards against controllers that hold so much of the jobs of past days
// that they can't start: a month of jobs may take 10 bytes each.
func TestSetTakesLittleMemory(t *testing.T) {
	const jobs = 30 * 109440 // a month of the busiest deployment
	before := heapBytes()
	set := New()
	for i := range jobs {
		set.Add(fmt.Sprintf("job-%07d", i), Outcome{State: domain.StateDone, TaskCount: 1 + i%40})
	}
	if each := float64(heapBytes()-before) / jobs; each > 10 {
		t.Errorf("%.1f bytes for each of %d jobs", each, set.Len())
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
