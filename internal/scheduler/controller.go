// Package scheduler makes the decisions of one controller and performs no input or output itself.
// Step takes one event and the monotonic time, and returns the effects to carry out. The package
// owns all state of the controller and must be called by one goroutine only.
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

// WorkCounts counts operations whose number grows with the fleet, so that tests can check the
// cost of a step without a clock.
type WorkCounts struct {
	Events            int            // steps
	PendingHeartbeats int            // pending heartbeats examined
	Machines          int            // machines examined one by one (reviewMachines)
	Targets           int            // machines compared when places for tasks are chosen
	TooLarge          int            // values that the state service refused for their size
	Bookings          [passCount]int // tasks booked in committed plans, by the pass that chose their machine
}

// Controller is the whole state of one controller. Each component holds the state of one concern.
// Only Step changes the state.
type Controller struct {
	Work    WorkCounts
	cfg     Settings
	rng     *rand.Rand    // for all random draws; seeded
	now     time.Duration // monotonic time of the present step
	effects []Effect      // produced in the present step

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

// New returns the state of a controller that has just started. The incarnation must be unique
// among all processes of all controllers.
func New(cfg Settings, incarnation string) *Controller {
	cfg.CurrentValueLimit = max(cfg.CurrentValueLimit, cfg.ValueLimit)
	c := &Controller{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, ownership.Hash(cfg.Controller))),
		membership: membership.New(membership.Config{FenceAge: cfg.FenceAge, ReadRate: cfg.ReadRate}, incarnation),
		views:      newViews(),
		cache:      newCache(cfg.reportBytes()),
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
	c.dispatch(event)
	c.runDueWork()
	return c.effects
}

// dispatch passes an event to the component that handles it. It panics on an unknown type.
func (c *Controller) dispatch(event Event) {
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
	case LeaseAnswered:
		c.onLeaseAnswered(e)
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
		panic(fmt.Sprintf("unknown event type: %T", event))
	}
}

// runDueWork does all work that is due, whatever the event was; each component checks for itself
// whether it has any. The order is: this controller's membership, messages that others depend on,
// decisions, and last the replies to machines.
func (c *Controller) runDueWork() {
	c.maintainLease() // first: a controller without lease and member key may not act
	c.confirmView()   // every delay of it shortens the time for which the controller may act
	c.proposeView()   // after maintainLease, which may find that the member key was deleted
	c.expireWaiters() // users need an answer even while the cache is being loaded
	if !c.membership.IsSynced() {
		return // nothing below may be decided on an incomplete cache
	}
	c.archiveEndedJobs()        // may come anywhere
	c.gossip()                  // sent even if this controller may not act: peers detect cut-off controllers by missing messages
	c.updateReadiness()         // sets the answer of GET /up; may come anywhere
	c.announceFormat()          // rare and small, so that it may take its tokens before the plan
	c.writeCordons()            // before planCommit: bookings depend on the pages of cordons
	c.placeTasks()              // before planCommit, which books tasks from the queues of machines
	c.planCommit()              // uses the tokens that are left
	c.scale()                   // leader only; after planCommit, so that tasks are booked on machines here before more are rented
	c.endLearningWindow()       // after placeTasks, whose loads it records
	c.answerPendingHeartbeats() // after planCommit: a reply waits for the bookings that the plan may bring
	c.reviewMachines()          // last: a reply that was just sent renews its machine's lease
}

// writeWeight returns this controller's share of the changes a second as a multiple of an equal
// share. In a large fleet the leader writes gangs and cordons besides its own shard. With an
// equal share, jobs of its shard waited for minutes although machines were free, and the free
// machines made its shard look like the one with the most room.
func (c *Controller) writeWeight() float64 {
	controllers := float64(len(c.cfg.Controllers))
	if controllers < 3 || c.cache.view == nil || !c.isLargeFleet() {
		return 1
	}
	if c.isLeader() {
		return tuning.LeaderWeight
	}
	return (controllers - tuning.LeaderWeight) / (controllers - 1)
}

// onSnapshot loads a snapshot into the cache.
func (c *Controller) onSnapshot(snapshot SnapshotLoaded) {
	c.loadSnapshot(snapshot)
	c.applyConfirmations()
}

// onWatch applies the changes up to the revision that the watch has reached.
func (c *Controller) onWatch(watch WatchAdvanced) {
	c.membership.BeginWatchUpdate(watch.Sent)
	for _, kv := range watch.Items {
		c.apply(kv)
	}
	c.membership.EndWatchUpdate()
	c.cache.revision = max(c.cache.revision, watch.Revision)
	c.applyConfirmations()
}

// emit appends an effect to those of the present step.
func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

// debug, info and error write a line to the log; args are alternating keys and values.
func (c *Controller) debug(message string, args ...any) { c.log(slog.LevelDebug, message, args...) }

func (c *Controller) info(message string, args ...any) { c.log(slog.LevelInfo, message, args...) }

func (c *Controller) error(message string, args ...any) { c.log(slog.LevelError, message, args...) }

func (c *Controller) log(level slog.Level, message string, args ...any) {
	c.emit(LogLine{Level: level, Message: message, Args: args})
}
