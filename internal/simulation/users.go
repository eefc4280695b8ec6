package simulation

import (
	"fmt"
	"net/http"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// userRequest makes the event of a user's request, given the ID that the controller assigns to it.
type userRequest func(requestID uint64) scheduler.Event

// submission returns a request to submit a job. Each event gets its own copy of the specification.
func submission(id string, spec domain.JobSpec) userRequest {
	return func(requestID uint64) scheduler.Event {
		own := spec
		return scheduler.JobSubmitted{RequestID: requestID, ID: id, Spec: &own}
	}
}

func query(id string) userRequest {
	return func(requestID uint64) scheduler.Event { return scheduler.JobQueried{RequestID: requestID, ID: id} }
}

func cancellation(id string) userRequest {
	return func(requestID uint64) scheduler.Event {
		return scheduler.JobCancelled{RequestID: requestID, ID: id}
	}
}

// requestAnywhere sends a request to a random running controller, as through a load balancer. done
// gets the reply, with status 0 if none arrived, and the time of the request.
func (c *Cluster) requestAnywhere(request userRequest, done func(reply scheduler.UserReply, requestedAt time.Duration)) {
	var running []*controllerProcess
	for _, p := range c.processes {
		if p.controller != nil {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		done(scheduler.UserReply{}, c.Now)
		return
	}
	c.requestAt(running[c.rng.IntN(len(running))], request, done)
}

// requestAt sends a request to one controller; done is called as by requestAnywhere.
func (c *Cluster) requestAt(p *controllerProcess, request userRequest, done func(reply scheduler.UserReply, requestedAt time.Duration)) {
	requestedAt := c.Now
	c.call(participantUsers, p.name, 2*time.Second, func(reply func(any)) {
		p.request(request, func(e scheduler.Effect) { reply(e) })
	}, func(response any) {
		reply, _ := response.(scheduler.UserReply)
		done(reply, requestedAt)
	})
}

// Submit submits a job, retrying until it is accepted, and then polls its state. It first waits
// until all dependencies are accepted. Each task runs for the given time.
func (c *Cluster) Submit(spec domain.JobSpec, runtime time.Duration) {
	job := c.jobs[spec.ID]
	if job == nil {
		job = newJobRecord(spec, runtime)
		c.jobs[spec.ID] = job
	}
	for _, id := range spec.Dependencies { // users name only accepted jobs as dependencies
		if earlier := c.jobs[id]; earlier == nil || !earlier.accepted {
			c.after(100*time.Millisecond, func() { c.Submit(spec, runtime) })
			return
		}
	}
	job.isSubmitted = true
	c.requestAnywhere(submission(spec.ID, spec), func(reply scheduler.UserReply, requestedAt time.Duration) {
		c.checkReply(spec.ID, reply, requestedAt)
		if reply.Status == http.StatusOK || reply.Status == http.StatusCreated {
			c.log("%s accepted", spec.ID)
			c.poll(spec.ID)
			return
		}
		c.after(time.Second, func() { c.Submit(spec, runtime) })
	})
}

// poll queries a job every 5 s, or every 0.5 s during the fault "storm", until its user gets a
// reply with a final state.
func (c *Cluster) poll(id string) {
	c.requestAnywhere(query(id), func(reply scheduler.UserReply, requestedAt time.Duration) {
		c.checkReply(id, reply, requestedAt)
		pause := 5 * time.Second
		if c.shouldInject("storm") {
			pause /= 10
			c.occurred(fmt.Sprintf("poll answered %d", reply.Status))
		}
		if c.jobs[id].finalState == "" {
			c.after(pause, func() { c.poll(id) })
		}
	})
}

// Cancel cancels a job, retrying every second until its user gets a reply with a final state. The
// job must exist.
func (c *Cluster) Cancel(id string) {
	job := c.jobs[id]
	job.cancelRequested = true
	c.requestAnywhere(cancellation(id), func(reply scheduler.UserReply, requestedAt time.Duration) {
		c.checkReply(id, reply, requestedAt)
		if job.finalState == "" {
			c.after(time.Second, func() { c.Cancel(id) })
		}
	})
}

// sendQueryBurst sends several queries for a job, and a repeated submission, to each controller
// within 160 ms, if the fault "looks" is active. It is called when a job's user learns that the
// job is accepted or has reached a final state.
func (c *Cluster) sendQueryBurst(id string) {
	job := c.jobs[id]
	if !c.shouldInject("looks") || !job.isSubmitted {
		return
	}
	for _, p := range c.processes {
		for k := 0; k < 4; k++ {
			request := query(id)
			if k == 3 {
				repeated := job.spec
				repeated.TaskCount++ // a repeated submission is identified by its ID alone
				request = submission(id, repeated)
			}
			c.after(time.Duration(c.rng.IntN(40*(k+1)))*time.Millisecond, func() {
				c.requestAt(p, request, func(reply scheduler.UserReply, requestedAt time.Duration) {
					c.checkBurstReply(id, reply, requestedAt)
				})
			})
		}
	}
}

func (c *Cluster) checkBurstReply(id string, reply scheduler.UserReply, requestedAt time.Duration) {
	if reply.Status == http.StatusOK {
		c.occurred("answer to a close look")
	}
	if reply.Status == http.StatusCreated {
		c.violated(ruleTaken, "%s accepted twice", id)
	}
	c.checkReply(id, reply, requestedAt)
}

// cancelRunningJobs cancels up to count running jobs within 200 ms. If hang is positive, up to eight
// of the machines that run them hang for that time.
func (c *Cluster) cancelRunningJobs(count int, hang time.Duration) {
	hung := 0
	for _, id := range c.jobIDs() {
		job := c.jobs[id]
		machine := c.firstWorkerOf(id)
		if count == 0 || machine == nil || job.cancelRequested || job.finalState != "" || !job.accepted {
			continue
		}
		count--
		c.occurred("running job cancelled")
		c.after(time.Duration(c.rng.IntN(200))*time.Millisecond, func() { c.Cancel(id) })
		if hang > 0 && hung < 8 && !machine.isHung {
			hung++
			machine.hang(hang)
		}
	}
}

// firstWorkerOf returns the first rented machine that has a task of a job; nil: none has.
func (c *Cluster) firstWorkerOf(job string) *worker {
	for _, w := range c.workers {
		if w.isGone {
			continue
		}
		for id, t := range w.tasks {
			if id.Job == job && t.isOnMachine() {
				return w
			}
		}
	}
	return nil
}

// sendEdgeCaseRequests submits an invalid job, resubmits some open jobs with another specification
// and cancels some done jobs, once per second while the fault "odd" is active.
func (c *Cluster) sendEdgeCaseRequests() {
	if !c.shouldInject("odd") {
		return
	}
	c.after(time.Second, c.sendEdgeCaseRequests)
	c.submitInvalidJob()
	for _, id := range c.jobIDs() {
		job := c.jobs[id]
		if !job.accepted || job.finalState == stateCancelled || c.rng.IntN(4) != 0 {
			continue
		}
		if job.finalState == stateDone {
			c.requestChecked(id, cancellation(id), func(scheduler.UserReply) { c.occurred("done job cancelled") })
			continue
		}
		repeated := job.spec
		repeated.Request.GPU = machineCapacity.GPU + 1 // a repeated submission is identified by its ID alone
		c.requestChecked(id, submission(id, repeated), func(reply scheduler.UserReply) {
			if reply.Status == http.StatusOK {
				c.occurred("repeat answered")
			}
		})
	}
}

// requestChecked sends a request about a job to any controller and checks the reply before it calls
// done.
func (c *Cluster) requestChecked(id string, request userRequest, done func(scheduler.UserReply)) {
	c.requestAnywhere(request, func(reply scheduler.UserReply, requestedAt time.Duration) {
		c.checkReply(id, reply, requestedAt)
		done(reply)
	})
}

// submitInvalidJob submits a job that can't run, with one of four defects in turn. It must be refused
// with the right status.
func (c *Cluster) submitInvalidJob() {
	c.generatedJobs++
	id := fmt.Sprintf("job-7%06d", c.generatedJobs)
	spec := domain.JobSpec{ID: id, Class: "odd", Team: "red", Shape: domain.Array, TaskCount: 1,
		Request: domain.Resources{CPU: 1000}, EstimatedRuntime: 5}
	lacksSpec := false
	switch c.generatedJobs % 4 {
	case 0:
		spec.Request.GPU = machineCapacity.GPU + 1
	case 1:
		spec.Team = "none"
	case 2:
		spec.Zone = "nowhere"
	case 3:
		lacksSpec = true
	}
	request, wantStatus := submission(id, spec), http.StatusUnprocessableEntity
	if lacksSpec {
		request = func(requestID uint64) scheduler.Event {
			return scheduler.JobSubmitted{RequestID: requestID, ID: id}
		}
		wantStatus = http.StatusBadRequest
	}
	c.jobs[id] = newJobRecord(spec, 0)
	c.jobs[id].isInvalid = true
	c.requestChecked(id, request, func(reply scheduler.UserReply) {
		if reply.Status == wantStatus {
			c.occurred("odd submission refused")
		} else if reply.Status >= 400 && reply.Status < 500 {
			c.violated(ruleRefused, "%s got %d, not %d", id, reply.Status, wantStatus)
		}
	})
}
