package simulation

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkLargeCluster plays two minutes of a large cluster of 1,000 machines. With -cpuprofile
// it shows where the controllers spend their processor time.
func BenchmarkLargeCluster(b *testing.B) {
	benchmark(b, 250, 0)
}

// BenchmarkFleet plays the same with 2,000 machines and a backlog of 150 jobs at the start.
func BenchmarkFleet(b *testing.B) {
	benchmark(b, 500, 150)
}

// BenchmarkFleet4000 plays the same with 4,000 machines, a backlog of 500 jobs and twice the
// arrival rate.
func BenchmarkFleet4000(b *testing.B) {
	benchmark(b, 1000, 500)
}

// benchmark plays two minutes of a large cluster and reports the work of its controllers. fill is
// the number of machines of each zone and kind, backlog the number of jobs submitted at the
// start.
func benchmark(b *testing.B, fill, backlog int) {
	for b.Loop() {
		c := largeCluster(7, fill)
		c.measuresSteps = true
		c.submitLargeLoad(backlog, time.Millisecond)
		c.submitLargeLoad(400*max(1, fill/500), 300*time.Millisecond/time.Duration(max(1, fill/500)))
		c.Run(2 * time.Minute)
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		seconds, events := c.Now.Seconds(), float64(c.totalWork().Events)
		b.ReportMetric(events/seconds, "events/simulated-s")
		b.ReportMetric(1000*c.stepTime.Seconds()/events, "ms/event")
		b.ReportMetric(1000*c.longestStep.Seconds(), "ms/longest-event")
		b.ReportMetric(c.stepTime.Seconds()/seconds/float64(len(c.processes)), "cores/controller")
		b.ReportMetric(float64(mem.HeapAlloc)/float64(len(c.processes))/(1<<20), "MB/controller-with-simulation")
		b.ReportMetric(float64(c.state.changes)/seconds, "changes/simulated-s")
		b.ReportMetric(float64(c.state.requests)/seconds, "requests/simulated-s")
		b.ReportMetric(float64(c.TaskStarts()), "starts")
		b.ReportMetric(float64(len(c.workers)), "machines")
		b.ReportMetric(float64(c.state.revision), "commits")
		if len(c.Violations) > 0 {
			b.Fatal(c.Violations[0])
		}
	}
}
