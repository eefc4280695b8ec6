package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"brassglade/internal/domain"
)

// action is one action of a script: its words, and its options by name (words of the form
// name=value, or a name alone with the value "").
type action struct {
	words   []string
	options map[string]string
}

// newAction parses the words of an action. It replaces the word "leader" by the name of the current
// leader, in place: the caller's slice changes, too.
func (c *Cluster) newAction(words []string) action {
	a := action{words, map[string]string{}}
	for i, word := range words {
		if word == "leader" && i > 0 {
			words[i] = c.leader
		}
		name, value, _ := strings.Cut(word, "=")
		a.options[name] = value
	}
	return a
}

// number returns an option's value, or the default if it is absent or not a number.
func (a action) number(name string, defaultValue float64) float64 {
	if v, err := strconv.ParseFloat(a.options[name], 64); err == nil {
		return v
	}
	return defaultValue
}

// seconds returns an option's value, a number of seconds, as a duration. The default is in seconds.
func (a action) seconds(name string, defaultValue float64) time.Duration {
	return time.Duration(a.number(name, defaultValue) * float64(time.Second))
}

// duration returns the option "for", by default 20 s.
func (a action) duration() time.Duration { return a.seconds("for", 20) }

func (a action) has(name string) bool {
	_, ok := a.options[name]
	return ok
}

// list returns an option's comma-separated values; nil: none.
func (a action) list(name string) []string {
	if l := a.options[name]; l != "" {
		return strings.Split(l, ",")
	}
	return nil
}

// actionKind describes a kind of action.
type actionKind struct {
	play func(*Cluster, action) error
	// The action is something that users do, not a fault, so that the checker allows no extra
	// time for it.
	isUserAction bool
}

var errUnknownAction = errors.New("unknown action")

// actionKinds holds the kinds of actions by their first word. The comment of Play describes them.
var actionKinds = map[string]actionKind{
	"submit":  {(*Cluster).playSubmit, true},
	"cancel":  {(*Cluster).playCancel, true},
	"calloff": {(*Cluster).playCallOff, true},
	"looks":   {(*Cluster).playNamedFault, true},
	"endings": {(*Cluster).playNamedFault, true},
	"storm":   {(*Cluster).playNamedFault, true},
	"quick":   {(*Cluster).playNamedFault, true},
	"odd":     {(*Cluster).playOdd, true},

	"crash":   {(*Cluster).playCrash, false},
	"upgrade": {(*Cluster).playUpgrade, false},
	"freeze":  {(*Cluster).playFreeze, false},
	"limits":  {(*Cluster).playLimits, false},
	"cut":     {(*Cluster).playCut, false},
	"cutzone": {(*Cluster).playCutZone, false},
	"state":   {(*Cluster).playState, false},
	"late":    {(*Cluster).playLate, false},
	"lost":    {(*Cluster).playLost, false},
	"slow":    {(*Cluster).playSlow, false},
	"boots":   {(*Cluster).playBoots, false},
	"cloud":   {(*Cluster).playCloud, false},

	"hang":   {onMachine(func(_ *Cluster, w *worker, a action) { w.hang(a.duration()) }), false},
	"take":   {onMachine(func(_ *Cluster, w *worker, _ action) { w.terminate("is taken") }), false},
	"notice": {onMachine(func(_ *Cluster, w *worker, a action) { w.preempt(a.seconds("in", 8)) }), false},
	"sick":   {onMachine((*Cluster).playSick), false},
	"deaf":   {onMachine((*Cluster).playDeaf), false},
	"mute":   {onMachine((*Cluster).playMute), false},
	"copies": {onMachine((*Cluster).playCopies), false},
	"keep":   {onMachine((*Cluster).playKeep), false},
}

// playAction executes one action of a script. An action that is a fault extends faultsOverAt by the
// longest of its options for, back and in.
func (c *Cluster) playAction(words []string) error {
	a := c.newAction(words)
	kind, ok := actionKinds[words[0]]
	if !kind.isUserAction && !c.noFaultGrace {
		c.faultsOverAt = max(c.faultsOverAt, c.Now+max(a.seconds("for", 0), a.seconds("back", 0), a.seconds("in", 0)))
	}
	if !ok {
		return errUnknownAction
	}
	return kind.play(c, a)
}

func (c *Cluster) playSubmit(a action) error {
	tasks, err := strconv.Atoi(a.words[3])
	if err != nil {
		return err
	}
	id := a.words[1]
	c.Submit(domain.JobSpec{
		ID:           id,
		Class:        "c",
		Team:         a.words[4],
		Shape:        domain.Shape(a.words[2]),
		Priority:     domain.Priority(a.number("prio", 1)),
		TaskCount:    tasks,
		Dependencies: a.list("awaits"),
		Request: domain.Resources{
			CPU:    int64(1000 * a.number("cpu", 2)),
			GPU:    int64(1000 * a.number("gpu", 1)),
			Memory: 4000,
		},
		Spot:               a.has("spot"),
		OneZone:            a.has("onezone"),
		Spread:             a.has("spread"),
		Zone:               a.options["zone"],
		MachineTypes:       a.list("types"),
		Image:              "img",
		ImageGB:            1,
		EstimatedRuntime:   a.number("run", 20),
		Deadline:           a.number("due", 0),
		CheckpointInterval: a.number("ckpt", 0),
		CheckpointCost:     2,
	}, a.seconds("run", 20))
	c.jobs[id].failsEverywhere = a.has("mistake")
	return nil
}

func (c *Cluster) playCancel(a action) error {
	id := a.words[1]
	if c.jobs[id] == nil {
		c.log("no job %s", id)
		return nil
	}
	c.Cancel(id)
	return nil
}

func (c *Cluster) playCallOff(a action) error {
	count, err := strconv.Atoi(a.words[1])
	if err != nil {
		return err
	}
	c.cancelRunningJobs(count, a.seconds("hang", 0))
	return nil
}

// playNamedFault starts the fault that has the action's name.
func (c *Cluster) playNamedFault(a action) error {
	c.startFault(a.words[0], a.duration(), a.number("share", 1))
	return nil
}

func (c *Cluster) playOdd(a action) error {
	c.startFault("odd", a.duration(), 1)
	c.sendEdgeCaseRequests()
	return nil
}

func (c *Cluster) playCrash(a action) error {
	for _, p := range c.processes {
		if a.words[1] == "all" || a.words[1] == p.name {
			p.crash(a.seconds("back", 4))
		}
	}
	return nil
}

func (c *Cluster) playUpgrade(a action) error {
	p := c.process(a.words[1])
	p.isPreviousVersion = false
	c.log("%s is upgraded", p.name)
	p.crash(a.seconds("back", 4))
	return nil
}

func (c *Cluster) playFreeze(a action) error {
	c.process(a.words[1]).freeze(a.seconds("for", 10))
	return nil
}

func (c *Cluster) playLimits(action) error {
	c.state.lowerLimits(c.settings.ValueLimit, c.settings.TransactionLimit)
	return nil
}

// playCut cuts the link between two participants, or between one and the first 60 machines,
// including those that are not rented yet.
func (c *Cluster) playCut(a action) error {
	from, to, mode := a.words[1], a.words[2], a.words[3]
	c.log("cut %s - %s (%s)", from, to, mode)
	if to != "*" {
		c.cutLink(from, to, mode, a.duration())
		return nil
	}
	for i := 1; i <= 60; i++ {
		c.cutLink(from, fmt.Sprintf("n-%06d", i), mode, a.duration())
	}
	return nil
}

func (c *Cluster) playCutZone(a action) error {
	c.cutZone(a.words[1], a.words[2], a.duration())
	return nil
}

func (c *Cluster) playState(a action) error {
	if a.words[1] == "down" {
		c.state.outage(a.duration())
		return nil
	}
	c.state.refuse(a.words[2], a.duration())
	return nil
}

func (c *Cluster) playLate(a action) error {
	c.log("transactions of %s: carried out late, without an answer", a.words[1])
	c.startTransactionFault(a)
	return nil
}

func (c *Cluster) playLost(a action) error {
	c.log("transactions of %s: their answers are lost", a.words[1])
	c.startTransactionFault(a)
	return nil
}

// startTransactionFault starts a fault that affects transactions of all controllers or of one. The
// faults are over 12 s after its end, since delayed transactions are executed up to 12 s late.
func (c *Cluster) startTransactionFault(a action) {
	name := a.words[0]
	if a.words[1] != "all" {
		name += " " + a.words[1]
	}
	c.startFault(name, a.duration(), a.number("share", 0.5))
	c.faultsOverAt = max(c.faultsOverAt, c.Now+a.duration()+12*time.Second)
}

func (c *Cluster) playSlow(a action) error {
	c.log("the state service is slow")
	c.faults["slow"] = fault{until: c.Now + a.duration(), probability: 1, maxDelay: a.seconds("by", 1)}
	return nil
}

func (c *Cluster) playBoots(a action) error {
	zone, mode := a.words[1], a.words[2]
	c.startFault("boots "+mode+" "+zone, a.duration(), 1)
	return nil
}

func (c *Cluster) playCloud(a action) error {
	c.cloud.isUp = false
	c.after(a.duration(), func() { c.cloud.isUp = true })
	return nil
}

// onMachine returns the play function of an action on one machine. It adds a line to the trace and
// does nothing else if the machine does not exist or is gone.
func onMachine(act func(*Cluster, *worker, action)) func(*Cluster, action) error {
	return func(c *Cluster, a action) error {
		w := c.workersByName[a.words[1]]
		if w == nil || w.isGone {
			c.log("no machine %s", a.words[1])
			return nil
		}
		act(c, w, a)
		return nil
	}
}

func (c *Cluster) playSick(w *worker, _ action) {
	c.log("%s fails all it starts", w.name)
	w.failsAllTasks = true
}

func (c *Cluster) playDeaf(w *worker, a action) {
	c.log("nothing reaches %s", w.name)
	w.noInboundUntil = c.Now + a.seconds("for", 60)
}

func (c *Cluster) playMute(w *worker, a action) {
	c.log("%s reaches no controller", w.name)
	w.noOutboundUntil = c.Now + a.seconds("for", 60)
}

func (c *Cluster) playCopies(w *worker, a action) {
	c.log("copies of reports of %s come late", w.name)
	w.duplicateUntil, w.maxDuplicateDelay = c.Now+a.seconds("for", 30), a.seconds("most", 30)
	c.faultsOverAt = max(c.faultsOverAt, w.duplicateUntil+w.maxDuplicateDelay)
}

func (c *Cluster) playKeep(w *worker, a action) {
	w.recordUntil = c.Now + a.seconds("for", 30)
}
