// Package tardiness chooses which of several jobs are to be late when not all of them can be
// in time: as few as can be.
package tardiness

import "sort"

// Job is what the choice needs to know of a job. Times are in seconds.
type Job struct {
	TimeLeft float64 // from now until it is due
	Work     float64 // of the one machine that all jobs share
	RunTime  float64 // that it needs besides, after its work; the machine is free for others by then
	Late     bool    // the answer of FewestLate
}

// FewestLate sets for as few jobs as can be that they are late, such that all others are in
// time if their work is done one job after the other from a time on; it returns the time at
// which that of the others ends. It sorts the jobs by the time left, equals as they were.
//
// This is Moore and Hodgson's rule (J. M. Moore, "An n job, one machine sequencing algorithm
// for minimizing the number of late jobs", Management Science 15, 1968): in order of time left,
// and whenever one job would be late, the one with the most work so far is taken out. Here the
// one machine is the whole fleet, and a job's last task needs its run time besides.
func FewestLate(jobs []*Job, begin float64) (end float64) {
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].TimeLeft < jobs[b].TimeLeft })
	end = begin
	var inTime []*Job
	for _, job := range jobs {
		job.Late = job.RunTime > job.TimeLeft // too late even alone
		if job.Late {
			continue
		}
		inTime = append(inTime, job)
		end += job.Work
		if end+job.RunTime > job.TimeLeft {
			k := indexOfMostWork(inTime)
			end -= inTime[k].Work
			inTime[k].Late = true
			inTime = append(inTime[:k], inTime[k+1:]...)
		}
	}
	return end
}

// indexOfMostWork is the index of the first job with the most work.
func indexOfMostWork(jobs []*Job) int {
	most := 0
	for k := range jobs {
		if jobs[k].Work > jobs[most].Work {
			most = k
		}
	}
	return most
}
