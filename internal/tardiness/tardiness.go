// Package tardiness chooses which jobs are to miss their deadlines when not all of them can be on
// time, such that their number is minimal.
package tardiness

import "sort"

// Job holds the times of a job that the choice depends on, in seconds, and the result.
type Job struct {
	TimeLeft float64 // time from now until its deadline
	Work     float64 // time that it occupies the single machine that all jobs share
	RunTime  float64 // further time that it needs after its work, during which the machine is free for others
	Late     bool    // result of FewestLate: it misses its deadline
}

// FewestLate sets Late of each job such that as few jobs as possible are late and all others are on
// time if their work is done one job after the other from begin on. It returns the time at which the
// work of these others ends. It sorts the jobs by TimeLeft, with a stable sort.
//
// This is the Moore-Hodgson algorithm (J. M. Moore, "An n job, one machine sequencing algorithm for
// minimizing the number of late jobs", Management Science 15, 1968). It adds the jobs in order of
// their deadlines; whenever one would be late, it removes the job with the most work of those added so
// far. Here the single machine stands for the whole fleet, and a job ends only after the run time of
// its last task, which comes after the job's work.
func FewestLate(jobs []*Job, begin float64) (end float64) {
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].TimeLeft < jobs[b].TimeLeft })
	end = begin
	var onTime []*Job
	for _, job := range jobs {
		job.Late = job.RunTime > job.TimeLeft // late even if its work took no time
		if job.Late {
			continue
		}
		onTime = append(onTime, job)
		end += job.Work
		if end+job.RunTime > job.TimeLeft {
			removed := indexOfMostWork(onTime)
			end -= onTime[removed].Work
			onTime[removed].Late = true
			onTime = append(onTime[:removed], onTime[removed+1:]...)
		}
	}
	return end
}

// indexOfMostWork returns the index of the first job with the most work.
func indexOfMostWork(jobs []*Job) int {
	most := 0
	for i := range jobs {
		if jobs[i].Work > jobs[most].Work {
			most = i
		}
	}
	return most
}
