package simulation

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"brassglade/internal/domain"
	"brassglade/internal/scheduler"
)

// This file serves to compare two commits: `make digest` prints, for each kind of scenario, a
// digest of all effects of the schedulers. The digests before and after a change that is not
// meant to change behaviour must be equal. They are not stored in the repository, since changes
// of behaviour are allowed to change them.

// digest is a running hash of the effects of the schedulers in one scenario, in order, each with
// its time and its controller: transactions with keys, conditions and values, commands, replies,
// messages to peers and cloud requests. Log lines are left out. The fields of the effects are
// written one by one, so that renaming a type does not change the digest.
type digest struct {
	sum     hash.Hash
	effects int // number of effects hashed
}

func newDigest() *digest { return &digest{sum: sha256.New()} }

// add hashes an effect of a controller. It panics at a type of effect that it does not know.
func (d *digest) add(p *controllerProcess, effect scheduler.Effect) {
	if _, isLog := effect.(scheduler.LogLine); isLog {
		return
	}
	d.effects++
	_, _ = fmt.Fprintf(d.sum, "%d %s ", p.cluster.Now, p.name)
	switch e := effect.(type) {
	case scheduler.ConfirmView:
		d.line("confirm", e.Key, e.ModRevision)
	case scheduler.Commit:
		d.transaction(e)
	case scheduler.ReadKeys:
		d.line("read", e.ID, e.Keys)
	case scheduler.GrantLease:
		d.line("grant", int64(e.TTL))
	case scheduler.RenewLease:
		d.line("renew", e.LeaseID)
	case scheduler.HeartbeatReply:
		d.line("answer", e.RequestID, e.Status, e.Owner, e.FencingToken, len(e.Commands))
		d.commands(e.Commands)
	case scheduler.SendCommands:
		d.line("direct", e.Machine, e.Addr, e.FencingToken, e.AgentEpoch, len(e.Commands))
		d.commands(e.Commands)
	case scheduler.UserReply:
		d.line("user", e.RequestID, e.Status, e.ID, e.State, e.Done, e.Running, e.Reason)
	case scheduler.ListMachineTypes:
		d.line("types")
	case scheduler.ListInstances:
		d.line("list")
	case scheduler.RentMachines:
		d.line("rent", e.RentalID, e.Type, e.Zone, e.Spot, e.Count)
	case scheduler.ReturnMachines:
		d.line("return", e.Names)
	case scheduler.SendPeerMessage:
		d.message(e)
	default:
		panic(fmt.Sprintf("digest: unknown effect type %T", effect))
	}
}

// line hashes fields, preceded by a word that names them.
func (d *digest) line(word string, fields ...any) {
	_, _ = fmt.Fprintf(d.sum, "%s %q\n", word, fmt.Sprintln(fields...))
}

func (d *digest) transaction(e scheduler.Commit) {
	d.line("commit", e.ID, e.Lane, len(e.Transaction.Conditions), len(e.Transaction.Puts))
	for _, c := range e.Transaction.Conditions {
		d.line("if", c.Key, c.ModRevision)
	}
	for _, a := range e.Transaction.Puts {
		d.line("put", a.Key, a.Value == nil, a.LeaseID, len(a.Value))
		d.sum.Write(a.Value)
	}
}

func (d *digest) commands(commands []domain.Command) {
	for _, c := range commands {
		d.line("command", string(c.Kind), c.Task.Job, c.Task.Index, c.Attempt, c.GraceSeconds, string(c.Reason))
	}
}

func (d *digest) message(e scheduler.SendPeerMessage) {
	m := e.Message
	d.line("message", e.To, m.Epoch, m.Load, m.StateReachable, m.Reserved, m.Evicting, len(m.Machines))
	for _, p := range m.Machines {
		d.line("machine", p.Name, p.Addr, p.Type, p.Zone, p.Spot, p.Leaving, p.AgentEpoch, p.Load, p.Images)
	}
	if s := m.Steal; s != nil {
		d.line("steal", s.Type, s.Zone, s.Spot, s.Room.CPU, s.Room.GPU, s.Room.Memory, s.MaxTasks)
	}
}

// digestShare limits the digest to a part of the scenarios, for a quick check: one in so many of
// each kind.
var digestShare = flag.Uint64("digest.share", 1, "BenchmarkDigest plays one in this many of the scenarios of each kind")

// digestKind is a kind of scenario, with the number of seeds to play. play plays one seed to its
// end and hashes the effects.
type digestKind struct {
	name      string
	scenarios uint64
	play      func(seed uint64, d *digest) error
}

var digestKinds = []digestKind{
	{"random", 60, scripted(func(seed uint64) string { return randomScenario(seed, "") })},
	{"zones", 60, scripted(func(seed uint64) string { return zoneScenario(300+seed, "") })},
	{"zones across leaders", 15, scripted(func(seed uint64) string { return zoneBoundLeaderChanges(rand.New(rand.NewPCG(seed, 71))) })},
	{"meetings", 40, scripted(faultPairScenario)},
	{"pipelines", 30, scripted(func(seed uint64) string {
		var b strings.Builder
		writePipelines(&b, rand.New(rand.NewPCG(seed, 5)), 5, 14)
		return randomScenario(seed, "") + b.String()
	})},
	{"old beside new", 40, scripted(func(seed uint64) string { return upgradeScenario(seed, "") })},
	{"guests", 4, unscripted(playTeamWithoutQuota)},
	{"fleet restarts", 1, unscripted(playFleetRestart)},
	{"fleet with a zone cut", 1, unscripted(playFleetZoneCut)},
}

// scripted returns a play function for scenarios that are scripts.
func scripted(script func(uint64) string) func(uint64, *digest) error {
	return func(seed uint64, d *digest) error {
		_, err := play(script(seed), d.add)
		return err
	}
}

// unscripted returns a play function for scenarios written in Go.
func unscripted(run func(seed uint64, d *digest)) func(uint64, *digest) error {
	return func(seed uint64, d *digest) error {
		run(seed, d)
		return nil
	}
}

// playTeamWithoutQuota plays an array of idle priority of the team without quota together with
// jobs of teams with guarantees.
func playTeamWithoutQuota(seed uint64, d *digest) {
	c := clusterWithTeamWithoutQuota(seed, 4)
	c.onEffect = d.add
	c.after(time.Second, func() {
		c.Submit(domain.JobSpec{ID: "job-000001", Class: "x", Team: "guest", Shape: domain.Array, Priority: 0, TaskCount: 150,
			Request: domain.Resources{CPU: 2000, GPU: 1000, Memory: 4000}, Spot: true, Image: "img", ImageGB: 1, EstimatedRuntime: 300, CheckpointInterval: 20, CheckpointCost: 2}, 300*time.Second)
	})
	c.submitLargeLoad(25, 4*time.Second)
	c.Run(300 * time.Second)
}

// playFleetRestart plays a cluster of 700 machines whose controllers all crash after an outage of
// the state service.
func playFleetRestart(_ uint64, d *digest) {
	c := busyFleet(d)
	c.Run(40 * time.Second)
	c.state.outage(8 * time.Second)
	c.Run(48 * time.Second)
	for _, p := range c.processes {
		p.crash(3 * time.Second)
	}
	c.Run(90 * time.Second)
}

// playFleetZoneCut plays a cluster of 700 machines one of whose zones is cut off together with
// its controllers.
func playFleetZoneCut(_ uint64, d *digest) {
	c := busyFleet(d)
	c.Run(40 * time.Second)
	c.cutZone("b", "hold", 35*time.Second)
	c.Run(110 * time.Second)
}

// busyFleet returns a cluster of 700 machines with a backlog of jobs and further jobs to come.
func busyFleet(d *digest) *Cluster {
	c := largeCluster(5, 175, func(s *scheduler.Settings) {
		s.WriteRate, s.ReadRate = 30*0.92*1.4/5, 120*0.92/5
		s.WorkerLease, s.CancelWithin = 31*time.Second, 56*time.Second
	})
	c.onEffect = d.add
	c.submitLargeLoad(120, time.Millisecond)
	c.submitLargeLoad(200, 300*time.Millisecond)
	return c
}

// BenchmarkDigest prints the digests. `make digest` runs it as a command; it measures nothing.
func BenchmarkDigest(b *testing.B) {
	for b.Loop() {
		for _, kind := range digestKinds {
			total, effects, err := kind.total()
			if err != nil {
				b.Fatal(err)
			}
			fmt.Printf("digest %x %8d effects: %s\n", total[:12], effects, kind.name)
		}
	}
}

// total plays all scenarios of a kind, several at a time, and returns the digest of their digests
// in the order of the seeds.
func (k digestKind) total() (total []byte, effects int, err error) {
	count := (k.scenarios + *digestShare - 1) / *digestShare
	digests, errs := make([]*digest, count), make([]error, count)
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var playing sync.WaitGroup
	for i := range digests {
		playing.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			digests[i] = newDigest()
			errs[i] = k.play(uint64(i+1), digests[i])
		})
	}
	playing.Wait()
	all := sha256.New()
	for _, d := range digests {
		all.Write(d.sum.Sum(nil))
		effects += d.effects
	}
	return all.Sum(nil), effects, errors.Join(errs...)
}
