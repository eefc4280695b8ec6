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

// onJobSubmitted takes a submission. One that repeats an accepted one is answered with the
// job's state, whatever it says now; so a refusal must wait for a read index, which shows
// that there is no such job.
func (c *Controller) onJobSubmitted(submission JobSubmitted) {
	if c.cache.jobs[submission.ID] != nil && submission.ID != "" {
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
	if why := c.neverRunsReason(submission.Spec); why != "" {
		c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission, refusal: why})
		return
	}
	if len(submission.Spec.Dependencies) > 0 {
		// Until all controllers know what dependencies are, one that doesn't might start
		// the job; the user comes back.
		if !c.cache.formatOn() {
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

// refuseMalformed answers a submission that can't be read, at once if not even its job's
// ID can.
func (c *Controller) refuseMalformed(submission JobSubmitted) {
	if submission.ID == "" {
		c.refuse(submission.RequestID, StatusMalformed, "", malformed)
		return
	}
	c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission, refusal: malformed})
}

// startAccepting reserves the job's ID for one submission; the user of another, which came
// before the first is committed, comes back.
func (c *Controller) startAccepting(submission JobSubmitted) bool {
	if c.requests.accepting[submission.ID] {
		c.retryLater(submission.RequestID, beingAccepted)
		return false
	}
	c.requests.accepting[submission.ID] = true
	return true
}

// --- what can never run ---

// neverRunsReason tells why a job can never run, "" if it can.
func (c *Controller) neverRunsReason(spec *domain.JobSpec) refusal {
	if !c.isGuardEnabled(GuardNeverRuns) {
		return ""
	}
	team, ok := c.cfg.Teams[spec.Team]
	if !ok {
		return unknownTeam
	}
	together := int64(spec.TaskCount) // tasks that run at the same time or not at all
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

// machineTypeFits tells whether a task of the job can run on an empty machine of the type.
func machineTypeFits(spec *domain.JobSpec, machineType *domain.MachineType) bool {
	if !machineType.Capacity.Fits(spec.Request) || spec.ImageGB > machineType.ImageCacheGB && machineType.ImageCacheGB > 0 {
		return false
	}
	return listAllows(spec.MachineTypes, machineType.Name) && (spec.Zone == "" || slices.Contains(machineType.Zones, spec.Zone))
}

// listAllows tells whether a list, which if empty allows all, allows the name.
func listAllows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// --- submissions that name jobs they depend on ---

// lookUpDependencies finds the jobs that a submission names. What the cache has was
// accepted; what it lacks another controller may have accepted a moment ago, so the state
// service is asked for those, if they are few. Only a read index shows that a job was never
// accepted: by then everything accepted before the submission came is in the cache.
func (c *Controller) lookUpDependencies(submission JobSubmitted) {
	var keys []string
	for _, id := range submission.Spec.Dependencies {
		if c.cache.jobs[id] != nil || slices.Contains(keys, codec.KeyJob(id)) {
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

// onKeysRead takes up a submission whose dependencies were looked up. One of which some are
// still missing, also since the read failed, waits for a read index.
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
		if c.cache.jobs[id] == nil && found[id] == nil {
			c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID, submission: &submission})
			return
		}
	}
	c.acceptWithDependencies(submission, found)
}

// dependencyCheck is what the jobs that a submission names mean for it.
type dependencyCheck struct {
	refusal   refusal  // "": it may be accepted
	cancelled bool     // one of them is cancelled, and so is the new job
	open      []string // those that are not over, sorted, each once
}

// checkDependencies judges the named jobs by the cache and by found, the headers that the
// cache may lack.
func (c *cache) checkDependencies(named []string, found map[string]*codec.JobHeader) dependencyCheck {
	ids := slices.Clone(named)
	slices.Sort(ids)
	var check dependencyCheck
	for _, id := range slices.Compact(ids) {
		j := c.jobs[id]
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

// acceptWithDependencies takes a submission that names jobs; found are the headers of those that the cache
// may lack, as the state service had them a moment ago.
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
	if check.cancelled { // accepted all the same, and over
		c.putJob(submission, &codec.JobHeader{State: domain.StateCancelled, TaskCount: spec.TaskCount, Released: true})
		return
	}
	header := c.newHeader(&spec) // which refers to spec
	c.putDependencyPieces(submission, header, c.storeDependencies(submission.ID, &spec, check.open))
}

// storeDependencies puts the names of the jobs into the job's spec if they are few. Longer
// lists lie in pieces beside the header, which it returns, and the spec tells where.
func (c *Controller) storeDependencies(id string, spec *domain.JobSpec, open []string) []domain.Put {
	inHeader := codec.JoinNames(open, tuning.DependenciesInHeader)
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
	for k, text := range codec.JoinNames(open, c.cfg.ValueLimit-tuning.PackSlack) {
		puts = append(puts, domain.Put{Key: codec.KeyDependencyPiece(id, spec.DependencyListName, k), Value: codec.Encode(text)})
	}
	spec.DependencyListPieces = len(puts)
	return puts
}

// --- writing a new job ---

// newHeader is that of a new job, which keeps spec.
func (c *Controller) newHeader(spec *domain.JobSpec) *codec.JobHeader {
	spec.MachineTypes = c.cache.knownTypes(spec.MachineTypes)
	header := &codec.JobHeader{
		State: domain.StateOpen, Spec: spec, TaskCount: spec.TaskCount,
		Shard: c.shardWithMostRoom(spec), AcceptOrder: c.cache.revision + 1,
	}
	if c.cache.formatOn() {
		header.AcceptedAtMS = c.wallMS()
	}
	// The tasks of a gang are booked at once, so its chunks have room for all of
	// them; in others bookings wait where a chunk is full (draft.room).
	size := tuning.ChunkBytes
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

// packFor is the pack of a shard that a new job's tasks go to: the first with room for all
// of them booked. Two controllers may fill one at the same time; then some bookings wait
// until others end (draft.room). False: the job needs values of its own.
func (c *Controller) packFor(spec *domain.JobSpec, shard string) (string, bool) {
	each := tuning.BookedBytes
	if c.cache.formatOn() {
		each = tuning.BookedBytesShort
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

// putDependencyPieces writes the pieces of a job's list of dependencies, if there are any, some in
// each commit, and then the header, so that a header never refers to a list that is not
// there.
func (c *Controller) putDependencyPieces(submission JobSubmitted, header *codec.JobHeader, pieces []domain.Put) {
	if len(pieces) == 0 {
		c.putJob(submission, header)
		return
	}
	now := min(len(pieces), c.cfg.TransactionLimit)
	transaction := domain.Transaction{Puts: pieces[:now]}
	for _, piece := range transaction.Puts {
		transaction.Conditions = append(transaction.Conditions, domain.Condition{Key: piece.Key, ModRevision: 0})
	}
	c.commit(LaneUser, transaction, func(result domain.CommitResult, _ CommitAnswered) {
		if result != domain.Committed { // a later attempt uses another name
			delete(c.requests.accepting, submission.ID)
			c.retryLater(submission.RequestID, commitFailed)
			return
		}
		c.putDependencyPieces(submission, header, pieces[now:])
	})
}

// putJob writes the header of a new job and tells its user.
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
		case domain.Conflict: // somebody else took it: a repeat
			c.awaitReadIndex(waiter{requestID: submission.RequestID, jobID: submission.ID})
		default:
			c.retryLater(submission.RequestID, commitFailed)
		}
	})
}
