package scheduler

import (
	"fmt"
	"slices"
	"strings"

	"brassglade/internal/codec"
	"brassglade/internal/domain"
	"brassglade/internal/quota"
	"brassglade/internal/tuning"
)

// onJobSubmitted handles a submission. If a job with its ID was already accepted, the answer is
// the state of that job, whatever else the submission says. So a submission may be refused only
// after a read index has shown that there is no such job.
func (c *Controller) onJobSubmitted(submission JobSubmitted) {
	if c.cache.job(submission.ID) != nil && submission.ID != "" {
		c.onJobQueried(JobQueried{submission.RequestID, submission.ID})
		return
	}
	if submission.Spec == nil {
		c.refuseMalformed(submission)
		return
	}
	if !c.canTakeRequests() {
		c.retryLater(submission.RequestID, notReady)
		return
	}
	if reason := c.neverRunsReason(submission.Spec); reason != "" {
		c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission, refusal: reason})
		return
	}
	if len(submission.Spec.Dependencies) > 0 {
		// A controller whose version lacks support for dependencies would start the job
		// immediately, so the user has to retry until all controllers support them.
		if !c.cache.isFormatOn() {
			c.retryLater(submission.RequestID, dependenciesNotEnabled)
			return
		}
		c.lookUpDependencies(submission)
		return
	}
	if c.startAccepting(submission) {
		c.putJob(submission, c.newHeader(submission.Spec))
	}
}

// refuseMalformed refuses a submission that can't be read: immediately if not even the job's
// ID can be read, else after a read index.
func (c *Controller) refuseMalformed(submission JobSubmitted) {
	if submission.ID == "" {
		c.refuse(submission.RequestID, StatusMalformed, "", malformed)
		return
	}
	c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission, refusal: malformed})
}

// startAccepting reserves the job's ID for one submission until that is committed or has
// failed, and reports whether it did. It asks the user of another submission with the same ID
// to retry later.
func (c *Controller) startAccepting(submission JobSubmitted) bool {
	if c.requests.accepting[submission.ID] {
		c.retryLater(submission.RequestID, beingAccepted)
		return false
	}
	c.requests.accepting[submission.ID] = true
	return true
}

// --- what can never run ---

// neverRunsReason returns why a job can never run, "" if it can.
func (c *Controller) neverRunsReason(spec *domain.JobSpec) refusal {
	if !c.isGuardEnabled(GuardNeverRuns) {
		return ""
	}
	team, ok := c.cfg.Teams[spec.Team]
	if !ok {
		return unknownTeam
	}
	together := int64(spec.TaskCount) // number of tasks that must be able to run at the same time
	if spec.Shape == domain.Array {
		together = 1
	}
	if !quota.Within(domain.Resources{}.Plus(spec.Request, together), team.Limit) {
		return overTeamLimit
	}
	for i := range c.cache.machineTypes {
		if machineTypeFits(spec, &c.cache.machineTypes[i]) {
			return ""
		}
	}
	return fitsNoMachineType
}

// machineTypeFits reports whether a task of the job can run on an empty machine of the type.
func machineTypeFits(spec *domain.JobSpec, machineType *domain.MachineType) bool {
	if !machineType.Capacity.Fits(spec.Request) || spec.ImageGB > machineType.ImageCacheGB && machineType.ImageCacheGB > 0 {
		return false
	}
	return listAllows(spec.MachineTypes, machineType.Name) && (spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone))
}

// listAllows reports whether the list has the name or is empty, which allows all names.
func listAllows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// --- submissions that name jobs they depend on ---

// lookUpDependencies checks that the jobs that a submission depends on were accepted. Those
// in the cache were. Another controller may have accepted the others a moment ago, so they
// are read from the state service if there are at most tuning.MaxLookups of them; if there are
// more, the submission waits for a read index. Only a read index shows that a job was never
// accepted: the cache then has everything that was accepted before the submission came.
func (c *Controller) lookUpDependencies(submission JobSubmitted) {
	var keys []string
	for _, id := range submission.Spec.Dependencies {
		if c.cache.job(id) != nil || slices.Contains(keys, codec.KeyJob(id)) {
			continue
		}
		keys = append(keys, codec.KeyJob(id))
		if len(keys) > tuning.MaxLookups {
			c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission})
			return
		}
	}
	if len(keys) == 0 {
		c.acceptWithDependencies(submission, nil)
		return
	}
	c.commits.nextID++
	c.requests.lookups[c.commits.nextID] = submission
	c.emit(ReadKeys{c.commits.nextID, keys})
}

// onKeysRead continues a submission whose dependencies were read from the state service. If
// some are still missing, also because the read failed, the submission waits for a read
// index.
func (c *Controller) onKeysRead(answer KeysRead) {
	submission, ok := c.requests.lookups[answer.ID]
	if !ok {
		return
	}
	delete(c.requests.lookups, answer.ID)
	found := map[string]*codec.JobHeader{}
	for _, kv := range answer.Items {
		if header, err := codec.Decode[codec.JobHeader](kv.Value); err == nil {
			found[strings.TrimPrefix(kv.Key, codec.PrefixJob)] = header
		}
	}
	for _, id := range submission.Spec.Dependencies {
		if c.cache.job(id) == nil && found[id] == nil {
			c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission})
			return
		}
	}
	c.acceptWithDependencies(submission, found)
}

// dependencyCheck is what the states of the jobs that a submission depends on mean for the
// new job.
type dependencyCheck struct {
	refusal   refusal  // "": the submission may be accepted
	cancelled bool     // one of the jobs is cancelled, and so is the new job
	open      []string // IDs of the jobs that are not over, sorted, without duplicates
}

// checkDependencies looks up the jobs that a submission depends on in the cache and, if the
// cache lacks one, among the headers in found, and returns what their states mean for the new
// job.
func (c *cache) checkDependencies(named []string, found map[string]*codec.JobHeader) dependencyCheck {
	ids := slices.Clone(named)
	slices.Sort(ids)
	var check dependencyCheck
	for _, id := range slices.Compact(ids) {
		j := c.job(id)
		if header := found[id]; j == nil && header != nil {
			j = &Job{ID: id, Header: header}
		}
		switch {
		case j == nil:
			return dependencyCheck{refusal: dependencyUnknown}
		case j.Header.Spec != nil && j.Header.Spec.Shape == domain.Service:
			return dependencyCheck{refusal: dependencyNeverEnds}
		case j.cancelled():
			check.cancelled = true
		case j.Header.State != domain.StateDone:
			check.open = append(check.open, id)
		}
	}
	return check
}

// acceptWithDependencies accepts or refuses a submission that depends on other jobs. found
// has the headers of jobs that the cache may lack, as just read from the state service.
func (c *Controller) acceptWithDependencies(submission JobSubmitted, found map[string]*codec.JobHeader) {
	check := c.cache.checkDependencies(submission.Spec.Dependencies, found)
	if check.refusal != "" {
		c.refuse(submission.RequestID, StatusRefused, submission.ID, check.refusal)
		return
	}
	if !c.canTakeRequests() {
		c.retryLater(submission.RequestID, notReady)
		return
	}
	if !c.startAccepting(submission) {
		return
	}
	spec := *submission.Spec
	spec.Dependencies = nil
	if check.cancelled { // the new job is accepted, and cancelled from the start
		c.putJob(submission, &codec.JobHeader{State: domain.StateCancelled, TaskCount: spec.TaskCount, Released: true})
		return
	}
	header := c.newHeader(&spec) // header keeps a pointer to spec, which storeDependencies changes
	c.putDependencyPieces(submission, header, c.storeDependencies(submission.ID, &spec, check.open))
}

// storeDependencies stores in the job's spec the IDs of the jobs that it depends on and that
// are not over, if the list is short. A longer list is split into pieces, which are stored
// as values of their own, and the spec refers to them; the changes that write the pieces are
// returned.
func (c *Controller) storeDependencies(id string, spec *domain.JobSpec, open []string) []domain.Put {
	inHeader := codec.JoinJobNames(open, tuning.DependenciesInHeader)
	if len(inHeader) == 0 {
		return nil
	}
	if len(inHeader) == 1 {
		spec.DependencyText = inHeader[0]
		return nil
	}
	c.requests.dependencyLists++
	spec.DependencyListName = fmt.Sprintf("%s-%d", c.membership.Incarnation(), c.requests.dependencyLists)
	var puts []domain.Put
	for k, text := range codec.JoinJobNames(open, c.cfg.ValueLimit-tuning.PackSlack) {
		puts = append(puts, domain.Put{Key: codec.KeyDependencyPiece(id, spec.DependencyListName, k), Value: codec.Encode(text)})
	}
	spec.DependencyListPieces = len(puts)
	return puts
}

// --- writing a new job ---

// newHeader returns the header of a new job. The header keeps the pointer to spec.
func (c *Controller) newHeader(spec *domain.JobSpec) *codec.JobHeader {
	spec.MachineTypes = c.cache.existingTypes(spec.MachineTypes)
	header := &codec.JobHeader{
		State: domain.StateOpen, Spec: spec, TaskCount: spec.TaskCount,
		Shard: c.shardWithMostRoom(spec), AcceptOrder: c.cache.revision + 1,
	}
	if c.cache.isFormatOn() {
		header.AcceptedAtMS = c.wallMS()
	}
	// The tasks of a gang are booked together, so its chunks need room for all of them booked. In
	// other jobs, bookings wait while their chunk is full (draft.hasRoomToGrow).
	size := tuning.ChunkTaskBytes
	if spec.Shape == domain.Gang {
		size = tuning.TaskBytes
	}
	header.ChunkSize = max(1, (c.cfg.ValueLimit-tuning.PackSlack)/size)
	if pack, ok := c.packFor(spec, header.Shard); ok {
		header.Pack, header.ChunkSize = pack, header.TaskCount
	} else if placedByLeader(spec) && header.TaskCount <= tuning.MaxInlineTasks {
		header.Inline, header.ChunkSize = true, header.TaskCount
	}
	return header
}

// packFor returns the pack of a shard that stores a new job's tasks: the first one with room
// for all tasks of its jobs that are not done, as if they were booked. Two controllers may fill
// the same pack at the same time; then some bookings wait until other tasks end
// (draft.hasRoomToGrow). It returns false if the job needs values of its own.
func (c *Controller) packFor(spec *domain.JobSpec, shard string) (string, bool) {
	each := tuning.BookedBytes
	if c.cache.isFormatOn() {
		each = tuning.CompactBookedBytes
	}
	cost := func(tasks int) int { return tuning.TaskBytes + tasks*each }
	most := c.cfg.ValueLimit * tuning.PackPercent / 100
	if placedByLeader(spec) || cost(spec.TaskCount) > most {
		return "", false
	}
	for k := 0; ; k++ {
		name := codec.PackName(shard, k)
		if c.cache.oversized[codec.PrefixPack+name] {
			continue
		}
		sum := cost(spec.TaskCount)
		for _, j := range c.cache.jobsByPack[name] {
			sum += cost(j.counts.queued + j.counts.booked)
		}
		if sum <= most {
			return name, true
		}
	}
}

// putDependencyPieces writes the pieces of a job's list of dependencies, if there are any, in
// as many commits as they need, and then the header, so that no header refers to a list that
// doesn't exist.
func (c *Controller) putDependencyPieces(submission JobSubmitted, header *codec.JobHeader, pieces []domain.Put) {
	if len(pieces) == 0 {
		c.putJob(submission, header)
		return
	}
	count := min(len(pieces), c.cfg.TransactionLimit)
	transaction := domain.Transaction{Puts: pieces[:count]}
	for _, piece := range transaction.Puts {
		transaction.Conditions = append(transaction.Conditions, domain.Condition{Key: piece.Key, ModRevision: 0})
	}
	c.commit(LaneUser, transaction, func(result domain.CommitResult, _ CommitAnswered) {
		if result != domain.Committed { // a later attempt stores the list under another name
			delete(c.requests.accepting, submission.ID)
			c.retryLater(submission.RequestID, commitFailed)
			return
		}
		c.putDependencyPieces(submission, header, pieces[count:])
	})
}

// putJob writes the header of a new job and answers the user.
func (c *Controller) putJob(submission JobSubmitted, header *codec.JobHeader) {
	transaction := domain.Transaction{
		Conditions: []domain.Condition{{Key: codec.KeyJob(submission.ID), ModRevision: 0}},
		Puts:       []domain.Put{{Key: codec.KeyJob(submission.ID), Value: codec.Encode(header)}},
	}
	c.commit(LaneUser, transaction, func(result domain.CommitResult, _ CommitAnswered) {
		delete(c.requests.accepting, submission.ID)
		switch result {
		case domain.Committed:
			spec := submission.Spec
			c.debug("job accepted", "job", submission.ID, "class", spec.Class, "tasks", spec.TaskCount, "shard", header.Shard,
				"team", spec.Team, "image", spec.Image, "image_gb", spec.ImageGB, "waiting", c.peers.waitingByShard,
				"estimated_s", spec.EstimatedRuntime, "deadline_s", spec.Deadline, "dependencies", spec.Dependencies)
			if j := c.cache.jobs[submission.ID]; j != nil {
				c.replyState(submission.RequestID, StatusAccepted, j)
			}
		case domain.Conflict: // another submission of this ID was accepted: this one repeats it
			c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID})
		default:
			c.retryLater(submission.RequestID, commitFailed)
		}
	})
}
