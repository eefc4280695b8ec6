package scheduler

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"brassglade/internal/membership"
	"brassglade/internal/tuning"
)

// Work counts what grows with the fleet, so that tests need no clock to see it.
type Work struct {
	Events            int            // steps
	PendingHeartbeats int            // held check-ins looked at
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
}

// New returns the state of a controller that has just started. The incarnation is unique
// among all processes of all controllers.
func New(cfg Settings, incarnation string) *Controller {
	cfg.ValueLimitNow = max(cfg.ValueLimitNow, cfg.ValueLimit)
	c := &Controller{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, hash64(cfg.Node))),
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
	}
	c.scaling.init()
	c.learner.init(cfg.Node)
	return c
}

// Step takes one event and returns the effects to carry out, in order.
func (c *Controller) Step(now time.Duration, ev Event) []Effect {
	c.now = max(c.now, now)
	c.effects = c.effects[:0:0]
	c.Work.Events++
	dt := (c.now - c.commits.tokensAt).Seconds()
	most := c.cfg.WriteRate * c.weight()
	if c.commits.leaderRate != c.isLeader() {
		c.commits.leaderRate = !c.commits.leaderRate
		c.commits.rate = most
	}
	c.commits.rate = min(most, c.commits.rate+dt*tuning.RateRegain*most)
	c.commits.tokens = min(c.commits.rate, c.commits.tokens+dt*c.commits.rate)
	c.commits.tokensAt = c.now
	switch e := ev.(type) {
	case Tick:
	case SnapshotLoaded:
		c.loadSnapshot(e)
		c.settleConfirmations()
	case WatchAdvanced:
		c.membership.WatchBegins(e.Sent)
		for _, kv := range e.Items {
			c.apply(kv)
		}
		c.cache.revision = max(c.cache.revision, e.Revision)
		c.membership.WatchEnds()
		c.settleConfirmations()
	case ConfirmationAnswered:
		c.onConfirmation(e)
	case CommitAnswered:
		c.onCommit(e)
	case KeysRead:
		c.onRead(e)
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
		c.onJobQueried(e.RequestID, e.ID, false)
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
		panic(fmt.Sprintf("unknown event %T", ev))
	}
	c.drive()
	return c.effects
}

// weight is this node's part of the changes a second, compared with an equal one.
// In a wide fleet the leader writes gangs and marks besides its own part; with an
// equal part of the changes its own jobs waited for minutes beside machines that
// were free, and looked like those with most room.
func (c *Controller) weight() float64 {
	n := float64(len(c.cfg.Nodes))
	if n < 3 || c.cache.view == nil || !c.isLargeFleet() {
		return 1
	}
	if c.isLeader() {
		return tuning.LeaderWeight
	}
	return (n - tuning.LeaderWeight) / (n - 1)
}

// drive does what is due now, whatever the event was.
func (c *Controller) drive() {
	c.maintainLease()
	c.confirmView()
	c.proposeView()
	c.expireWaiters()
	if c.membership.IsSynced() {
		c.gossip()
		c.updateReadiness()
		c.announceFormat()
		c.writeCordons()
		c.placeTasks()
		c.planCommit()
		c.scale()
		c.endLearningWindow()
		c.answerPendingHeartbeats()
		c.reviewMachines()
	}
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

// debug, info and error add a line to the log; args are pairs of key and value.
func (c *Controller) debug(message string, args ...any) { c.log(slog.LevelDebug, message, args...) }

func (c *Controller) info(message string, args ...any) { c.log(slog.LevelInfo, message, args...) }

func (c *Controller) error(message string, args ...any) { c.log(slog.LevelError, message, args...) }

func (c *Controller) log(level slog.Level, message string, args ...any) {
	c.emit(LogLine{Level: level, Message: message, Args: args})
}
