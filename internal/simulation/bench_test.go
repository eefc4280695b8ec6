package simulation

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"brassglade/internal/scheduler"

	"brassglade/internal/domain"
)

// grown is a deployment of the size that the grown ones have.
func grownCluster(nodes, fill int, change ...func(*scheduler.Settings)) *Cluster {
	c := New(1, grownSettings(nodes, fill, change...))
	c.marketCapacity = fill
	return c
}

func grownSettings(nodes, fill int, change ...func(*scheduler.Settings)) scheduler.Settings {
	settings := Settings()
	settings.Nodes, settings.ZoneOf = nil, map[string]string{}
	for i := 0; i < nodes; i++ {
		n := fmt.Sprintf("c-%d", i)
		settings.Nodes = append(settings.Nodes, n)
		settings.ZoneOf[n] = settings.Zones[i%len(settings.Zones)]
	}
	settings.HeartbeatInterval = 5 * time.Second
	settings.WriteRate, settings.ReadRate = 25*0.92/float64(nodes), 100*0.92/float64(nodes)
	settings.Teams = map[string]domain.Quota{
		"red":  {Guarantee: domain.Resources{GPU: 800000}, Limit: domain.Resources{GPU: int64(fill) * 12000}},
		"blue": {Guarantee: domain.Resources{GPU: 800000}, Limit: domain.Resources{GPU: int64(fill) * 12000}},
	}
	for _, f := range change {
		f(&settings)
	}
	return settings
}

// feed submits arrays and gangs as they come in a grown deployment.
func (c *Cluster) submitGrownLoad(jobs int, every time.Duration) {
	for i := 0; i < jobs; i++ {
		c.generatedJobs++
		id := fmt.Sprintf("job-%06d", 100000+c.generatedJobs)
		team := []string{"red", "blue"}[i%2]
		sp := domain.JobSpec{ID: id, Class: "c", Team: team, Shape: domain.Array, Priority: 1, TaskCount: 20 + i%7*10,
			Request: domain.Resources{CPU: 2000, GPU: 1000, Memory: 4000}, Spot: true, Image: fmt.Sprintf("img-%d", i%8), ImageGB: 2,
			EstimatedRuntime: 40, CheckpointInterval: 10, CheckpointCost: 2}
		if i%4 == 3 {
			sp.Shape, sp.TaskCount, sp.Spot, sp.Priority, sp.Class = domain.Gang, 1+i%3, false, 2, "g"
			sp.Request = domain.Resources{CPU: 12000, GPU: 4000, Memory: 40000}
		}
		c.after(time.Duration(i)*every, func() { c.Submit(sp, time.Duration(25+i%50)*time.Second) })
	}
}

// work sums up what all controllers did.
func (c *Cluster) totalWork() (all scheduler.Work) {
	for _, p := range c.processes {
		x := p.controller.Work
		all.Events, all.PendingHeartbeats = all.Events+x.Events, all.PendingHeartbeats+x.PendingHeartbeats
		all.Machines, all.Targets = all.Machines+x.Machines, all.Targets+x.Targets
	}
	return all
}

// BenchmarkGrown plays two minutes of a grown deployment; with -cpuprofile it
// shows what the controllers spend their time on.
func BenchmarkGrown(b *testing.B) {
	benchmark(b, 250, 0)
}

// BenchmarkFleet is the same with 2,000 machines and a backlog at the start.
func BenchmarkFleet(b *testing.B) {
	benchmark(b, 500, 150)
}

// BenchmarkFleet4000 is the same with 4,000 machines and arrivals twice as often.
func BenchmarkFleet4000(b *testing.B) {
	benchmark(b, 1000, 500)
}

func benchmark(b *testing.B, fill, backlog int) {
	for n := 0; n < b.N; n++ {
		c := grownCluster(7, fill)
		c.timesSteps = true
		c.submitGrownLoad(backlog, time.Millisecond)
		c.submitGrownLoad(400*max(1, fill/500), 300*time.Millisecond/time.Duration(max(1, fill/500)))
		c.Run(2 * time.Minute)
		runtime.GC()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		seconds, events := c.Now.Seconds(), float64(c.totalWork().Events)
		b.ReportMetric(events/seconds, "events/simulated-s")
		b.ReportMetric(1000*c.stepTime.Seconds()/events, "ms/event")
		b.ReportMetric(1000*c.longestStep.Seconds(), "ms/longest-event")
		b.ReportMetric(c.stepTime.Seconds()/seconds/float64(len(c.processes)), "cores/controller")
		b.ReportMetric(float64(mem.HeapAlloc)/float64(len(c.processes))/(1<<20), "MB/controller-with-standin")
		b.ReportMetric(float64(c.state.changes)/seconds, "changes/simulated-s")
		b.ReportMetric(float64(c.state.requests)/seconds, "requests/simulated-s")
		b.ReportMetric(float64(c.Starts()), "starts")
		b.ReportMetric(float64(len(c.workers)), "machines")
		b.ReportMetric(float64(c.state.revision), "commits")
		if len(c.Broken) > 0 {
			b.Fatal(c.Broken[0])
		}
	}
}
