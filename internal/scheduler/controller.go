// Package scheduler decides for one controller, without input or output of its own. Step
// takes one event and the steady time and returns the effects to carry out; the package
// owns all state and is called by one goroutine.
package scheduler

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"brassglade/internal/membership"
	"brassglade/internal/ownership"
	"brassglade/internal/tuning"
)

// Work counts what grows with the fleet, so that tests need no clock to see it.
type Work struct {
	Events            int            // steps
	PendingHeartbeats int            // heartbeats waiting for their answer looked at
	Machines          int            // machines looked at one by one (reviewMachines)
	Targets           int            // machines weighed for tasks (choices)
	TooLarge          int            // values refused for their size
	Bookings          [passCount]int // tasks booked in committed plans, by the pass that chose their machine
}

// Controller is the whole state of one controller. It is made of components, each with
// the state of one concern; Step is the only way in.
type Controller struct {
	Work    Work
	cfg     Settings
	rng     *rand.Rand    // all random draws, seeded
	now     time.Duration // steady time of the present step
	effects []Effect      // of the present step so far

	membership membership.Member
	views      views
	cache      cache
	commits    commits
	formats    formats

	requests   requests
	heartbeats heartbeats
	peers      peers
	queues     queues
	planner    planner
	cordons    cordons
	scaling    scaling
	learner    learner
	waits      waitCounts
}

// New returns the state of a controller that has just started. The incarnation is unique
// among all processes of all controllers.
func New(cfg Settings, incarnation string) *Controller {
	cfg.ValueLimitNow = max(cfg.ValueLimitNow, cfg.ValueLimit)
	c := &Controller{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, ownership.Hash(cfg.Node))),
		membership: membership.New(membership.Config{FenceAge: cfg.FenceAge, ReadRate: cfg.ReadRate}, incarnation),
		views:      newViews(),
		cache:      newCache(),
		commits:    newCommits(cfg.WriteRate),
		requests:   newRequests(),
		heartbeats: newHeartbeats(),
		peers:      newPeers(),
		queues:     newQueues(),
		planner:    newPlanner(),
		cordons:    newCordons(),
		scaling:    newScaling(0),
		learner:    newLearner(),
	}
	return c
}

// Step takes one event and returns the effects to carry out, in order.
func (c *Controller) Step(now time.Duration, event Event) []Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0:0]
	c.Work.Events++
	c.commits.refill(c.now, c.fullWriteRate(), c.isLeader())
	c.take(event)
	c.doWhatIsDue()
	return c.effects
}

// take hands an event to the component that it concerns.
func (c *Controller) take(event Event) {
	switch e := event.(type) {
	case Tick:
	case SnapshotLoaded:
		c.onSnapshot(e)
	case WatchAdvanced:
		c.onWatch(e)
	case ConfirmationAnswered:
		c.onConfirmation(e)
	case CommitAnswered:
		c.onCommit(e)
	case KeysRead:
		c.onKeysRead(e)
	case LeaseGranted:
		c.onLeaseGranted(e)
	case LeaseRenewalAnswered:
		c.onLeaseRenewal(e)
	case HeartbeatReceived:
		c.onHeartbeat(e)
	case CommandsAnswered:
		c.onCommandsAnswered(e)
	case JobSubmitted:
		c.onJobSubmitted(e)
	case JobQueried:
		c.onJobQueried(e)
	case JobCancelled:
		c.onJobCancelled(e)
	case MachineTypesListed:
		c.onMachineTypesListed(e)
	case InstancesListed:
		c.onInstancesListed(e)
	case RentalAnswered:
		c.onRentalAnswered(e)
	case ReturnAnswered:
		c.onReturnAnswered(e)
	case PeerMessageReceived:
		c.onPeerMessage(e)
	default:
		panic(fmt.Sprintf("an event that take doesn't know: %T", event))
	}
}

// doWhatIsDue does what is due now, whatever the event was. Each component decides for
// itself whether anything is. First comes what keeps this controller in its place, then what
// others learn from it, then its decisions, and last the answers that tell machines.
func (c *Controller) doWhatIsDue() {
	c.maintainLease() // without lease and member key nothing else counts
	c.confirmView()   // every moment in which it isn't sent shortens what the fence allows
	c.proposeView()   // after maintainLease, which may find the member key gone
	c.expireWaiters() // users need an answer even while the cache is being loaded
	if !c.membership.IsSynced() {
		return // nothing below may be decided on half a cache
	}
	c.gossip()                  // sent even by those that may not act: peers judge by it who is cut off
	c.updateReadiness()         // bound to no place: what GET /up says
	c.announceFormat()          // seldom and small, so that it takes its tokens before the plan
	c.writeCordons()            // before planCommit: bookings depend on the pages of cordons
	c.placeTasks()              // before planCommit: tasks are booked from the queues of machines
	c.planCommit()              // takes what tokens are left
	c.scale()                   // the leader's; what is here is booked before more is rented
	c.endLearningWindow()       // after placing, whose loads it records
	c.answerPendingHeartbeats() // after planCommit: an answer is delayed for the bookings that the plan may bring
	c.reviewMachines()          // last: an answer just given renews its machine's lease
}

// weight is this controller's share of the changes a second, where an equal one is 1. In a
// large fleet the leader writes gangs and cordons besides its own shard; with an equal
// share of the changes its own jobs waited for minutes beside machines that were
// free, and looked like those with most room.
func (c *Controller) weight() float64 {
	controllers := float64(len(c.cfg.Nodes))
	if controllers < 3 || c.cache.view == nil || !c.isLargeFleet() {
		return 1
	}
	if c.isLeader() {
		return tuning.LeaderWeight
	}
	return (controllers - tuning.LeaderWeight) / (controllers - 1)
}

// onSnapshot replaces the cache.
func (c *Controller) onSnapshot(snapshot SnapshotLoaded) {
	c.loadSnapshot(snapshot)
	c.applyConfirmations()
}

// onWatch brings the cache up to the watch's revision.
func (c *Controller) onWatch(watch WatchAdvanced) {
	c.membership.BeginWatchUpdate(watch.Sent)
	for _, kv := range watch.Items {
		c.apply(kv)
	}
	c.membership.EndWatchUpdate()
	c.cache.revision = max(c.cache.revision, watch.Revision)
	c.applyConfirmations()
}

// emit adds an effect to those of the present step.
func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

// debug, info and error add a line to the log; args are pairs of key and value.
func (c *Controller) debug(message string, args ...any) { c.log(slog.LevelDebug, message, args...) }

func (c *Controller) info(message string, args ...any) { c.log(slog.LevelInfo, message, args...) }

func (c *Controller) error(message string, args ...any) { c.log(slog.LevelError, message, args...) }

func (c *Controller) log(level slog.Level, message string, args ...any) {
	c.emit(LogLine{Level: level, Message: message, Args: args})
}
