package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"brassglade/internal/scheduler"

	"brassglade/internal/domain"
)

// each runs f every second of the world.
func (c *Cluster) everySecond(f func()) {
	var again func()
	again = func() {
		f()
		c.after(time.Second, again)
	}
	c.after(time.Second, again)
}

// Watchful starts the checks that run every second, among them gangs whose
// mates are gone.
func (c *Cluster) StartChecks() {
	c.everySecond(c.checkRunningTasks)
	c.everySecond(c.checkProgress)
	c.everySecond(c.checkLeftWaiting)
	lost := map[string]time.Duration{}
	c.everySecond(func() {
		type key struct {
			job string
			a   uint64
		}
		running := map[key]int{}
		for _, w := range c.workers {
			for _, id := range w.taskIDs() {
				if t := w.tasks[id]; t.state == domain.ReportedRunning && !w.isHung && c.jobs[id.Job].spec.Shape == domain.Gang {
					running[key{id.Job, t.attempt}]++
				}
			}
		}
		for _, w := range c.workers {
			for _, id := range w.taskIDs() {
				t, job := w.tasks[id], c.jobs[id.Job]
				g := key{id.Job, t.attempt}
				if t.state != domain.ReportedRunning || job.spec.Shape != domain.Gang || running[g] >= job.spec.TaskCount || len(job.done) > 0 {
					continue
				}
				n := fmt.Sprintf("%s %d", g.job, g.a)
				if _, ok := lost[n]; !ok {
					lost[n] = c.Now
				}
				if c.Now-lost[n] >= c.settings.GangPeerWait {
					w.whenResponsive(func() {
						if t.state == domain.ReportedRunning {
							w.endTask(id, t, "peers", false)
						}
					})
				}
			}
		}
	})
}

func secs(s string) (time.Duration, error) {
	x, err := strconv.ParseFloat(s, 64)
	return time.Duration(x * float64(time.Second)), err
}

// Play reads a script, one action a line, and plays it:
//
//	seed N
//	drop GUARD
//	old                              (all nodes begin as the version before)
//	fill N                           (machines a zone and kind that can be rented)
//	next value=N ops=N               (limits to come, as the settings name them)
//	zones                            (controllers lie in zones, which a cut can part)
//	rates                            (changes and requests a second are limited)
//	at T submit ID SHAPE N TEAM [run=S] [gpu=N] [cpu=N] [prio=N] [due=S] [spot] [onezone] [spread] [zone=Z] [types=T,T] [ckpt=S] [awaits=ID,ID] [mistake]
//	at T upgrade NODE back=S         (ends and comes back as the new version)
//	at T limits                      (the limits to come hold from now on)
//	at T cancel ID
//	at T crash NODE back=S           at T crash all back=S
//	at T cutzone Z drop|hold for=S   (nodes and machines of a zone from all others)
//	at T cut A B drop|hold for=S     (NODE may be "leader" everywhere; nodes, state, cloud, users, n-000001; * for all workers)
//	at T state down for=S            at T state refuse NODE for=S
//	at T cloud down for=S
//	at T hang MACHINE for=S          at T take MACHINE       at T notice MACHINE in=S
//	at T sick MACHINE
//	at T deaf MACHINE for=S          (its reports arrive, answers and commands don't)
//	at T copies MACHINE for=S most=S (copies of its reports come late)
//	at T keep MACHINE for=S          (its reports come again, at every node, as the next leader begins)
//	at T mute MACHINE for=S          (it reaches no controller, while commands reach it)
//	at T freeze NODE for=S           (stands still in the middle of a step, its clock goes on)
//	at T late NODE|all for=S share=X (transactions get no answer and are carried out 2 to 12 s later)
//	at T lost NODE|all for=S share=X (transactions are carried out, only their answer is lost)
//	at T slow for=S by=S             (the state service answers up to that much later)
//	at T quick for=S                 (machines rented meanwhile are up within two seconds)
//	at T boots ZONE late|never for=S (machines rented there meanwhile come up late or never)
//	at T storm for=S                 (users ask about their jobs ten times as often)
//	at T calloff N [hang=S]          (users call off that many running jobs at once, whose machines may hang)
//	at T endings for=S share=X       (jobs are called off at the moment at which their last task ends)
//	at T looks for=S                 (users ask all nodes within milliseconds after each news, and submit again)
//	at T odd for=S                   (submissions of what can't run or lacks a field, repeats, cancellations of what is done)
//	blind                            (the checker takes no trouble for an excuse)
//	until T
func Play(script string) (*Cluster, error) { return play(script, nil) }

// play is Play with a look at all that leaves the cores.
func play(script string, onEffect func(*controllerProcess, scheduler.Effect)) (*Cluster, error) {
	seed, settings := uint64(1), Settings()
	var until time.Duration
	blind, old, opsNow, fill := false, false, 0, 5
	type line struct {
		at time.Duration
		f  []string
	}
	var ls []line
	for _, l := range strings.Split(script, "\n") {
		f := strings.Fields(l)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		var err error
		switch f[0] {
		case "seed":
			seed, err = strconv.ParseUint(f[1], 10, 64)
		case "blind":
			blind = true
		case "rates":
			settings.WriteRate, settings.FairWriteRate, settings.ReadRate = 25*0.92/3, 25*0.92/3, 100*0.92/3
		case "zones":
			settings.ZoneOf = map[string]string{"c-0": "a", "c-1": "b", "c-2": "a"}
		case "fill":
			fill, err = strconv.Atoi(f[1])
		case "old":
			old = true
		case "next":
			settings.ValueLimitNow, opsNow = settings.ValueLimit, settings.TransactionLimit
			if _, err = fmt.Sscanf(l, "next value=%d ops=%d", &settings.ValueLimit, &settings.TransactionLimit); err != nil {
				err = fmt.Errorf("next: %w", err)
			}
		case "drop":
			settings.DisabledGuard = f[1]
		case "until":
			until, err = secs(f[1])
		case "at":
			var d time.Duration
			d, err = secs(f[1])
			ls = append(ls, line{d, f[2:]})
		default:
			err = fmt.Errorf("unknown word")
		}
		if err != nil {
			return nil, fmt.Errorf("%q: %w", l, err)
		}
	}
	c := newCluster(seed, settings, opsNow, old)
	c.excusesNothing, c.marketCapacity, c.onEffect = blind, fill, onEffect
	c.StartChecks()
	for _, l := range ls {
		c.after(l.at, func() {
			if err := c.playAction(l.f); err != nil {
				c.violated("script", "%v: %v", l.f, err)
			}
		})
	}
	c.Run(until)
	c.checkServed()
	return c, nil
}

func (c *Cluster) process(name string) *controllerProcess {
	if name == "leader" {
		name = c.leader
	}
	for _, p := range c.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// act carries out one action of a script.
func (c *Cluster) playAction(f []string) error {
	opt := map[string]string{}
	for i, x := range f {
		if x == "leader" && i > 0 {
			f[i] = c.leader
		}
		k, v, _ := strings.Cut(x, "=")
		opt[k] = v
	}
	num := func(k string, def float64) float64 {
		if v, err := strconv.ParseFloat(opt[k], 64); err == nil {
			return v
		}
		return def
	}
	dur := func(k string, def float64) time.Duration { return time.Duration(num(k, def) * float64(time.Second)) }
	switch f[0] {
	case "submit", "cancel", "calloff", "looks", "odd", "quick", "endings", "storm":
	default:
		if c.excusesNothing {
			break
		}
		c.calmSince = max(c.calmSince, c.Now+max(dur("for", 0), dur("back", 0), dur("in", 0)))
	}
	switch f[0] {
	case "submit":
		return c.submitLine(f, opt, num, dur)
	case "cancel":
		if c.jobs[f[1]] == nil {
			c.log("no job %s", f[1])
			return nil
		}
		c.Cancel(f[1])
	case "crash":
		for _, p := range c.processes {
			if f[1] == "all" || f[1] == p.name {
				p.crash(dur("back", 4))
			}
		}
	case "upgrade":
		p := c.process(f[1])
		p.isPreviousVersion = false
		c.log("%s is upgraded", p.name)
		p.crash(dur("back", 4))
	case "limits":
		c.state.lowerLimits(c.settings.ValueLimit, c.settings.TransactionLimit)
	case "cut":
		c.log("cut %s - %s (%s)", f[1], f[2], f[3])
		if f[2] != "*" {
			c.cut(f[1], f[2], f[3], dur("for", 20))
			return nil
		}
		for i := 1; i <= 60; i++ { // also those not rented yet
			c.cut(f[1], fmt.Sprintf("n-%06d", i), f[3], dur("for", 20))
		}
	case "state":
		if f[1] == "down" {
			c.state.outage(dur("for", 20))
			return nil
		}
		c.log("state service refuses %s", f[2])
		c.state.refused[f[2]] = true
		c.after(dur("for", 20), func() {
			delete(c.state.refused, f[2])
			c.state.answerWatches()
		})
	case "cutzone":
		c.cutZone(f[1], f[2], dur("for", 20))
	case "freeze":
		c.process(f[1]).freeze(dur("for", 10))
	case "late", "lost":
		name := f[0]
		if f[1] != "all" {
			name += " " + f[1]
		}
		c.log("transactions of %s: %s", f[1], map[string]string{"late": "carried out late, without an answer", "lost": "their answers are lost"}[f[0]])
		c.troubles[name] = trouble{c.Now + dur("for", 20), num("share", 0.5), 0}
		c.calmSince = max(c.calmSince, c.Now+dur("for", 20)+12*time.Second)
	case "slow":
		c.log("the state service is slow")
		c.troubles["slow"] = trouble{c.Now + dur("for", 20), 1, dur("by", 1)}
	case "boots":
		c.troubles["boots "+f[2]+" "+f[1]] = trouble{c.Now + dur("for", 20), 1, 0}
	case "quick", "endings", "looks", "storm":
		c.troubles[f[0]] = trouble{c.Now + dur("for", 20), num("share", 1), 0}
	case "odd":
		c.troubles["odd"] = trouble{c.Now + dur("for", 20), 1, 0}
		c.submitOddRequests()
	case "calloff":
		n, err := strconv.Atoi(f[1])
		if err != nil {
			return err
		}
		c.cancelRunningJobs(n, dur("hang", 0))
	case "cloud":
		c.cloud.isUp = false
		c.after(dur("for", 20), func() { c.cloud.isUp = true })
	case "hang", "take", "notice", "sick", "deaf", "copies", "keep", "mute":
		c.strikeMachine(f, dur)
	default:
		return fmt.Errorf("unknown action")
	}
	return nil
}

// submitLine submits the job that a line describes.
func (c *Cluster) submitLine(f []string, opt map[string]string, num func(string, float64) float64, dur func(string, float64) time.Duration) error {
	n, err := strconv.Atoi(f[3])
	if err != nil {
		return err
	}
	var needs []string
	if l := opt["awaits"]; l != "" {
		needs = strings.Split(l, ",")
	}
	var types []string
	if l := opt["types"]; l != "" {
		types = strings.Split(l, ",")
	}
	_, spot := opt["spot"]
	_, oneZone := opt["onezone"]
	_, spread := opt["spread"]
	_, mistake := opt["mistake"]
	c.Submit(domain.JobSpec{
		Dependencies: needs, Deadline: num("due", 0),
		ID: f[1], Class: "c", Team: f[4], Shape: domain.Shape(f[2]), Priority: int(num("prio", 1)), TaskCount: n,
		Request: domain.Resources{CPU: int64(1000 * num("cpu", 2)), GPU: int64(1000 * num("gpu", 1)), Memory: 4000},
		Spot:    spot, OneZone: oneZone, Spread: spread, Zone: opt["zone"], MachineTypes: types, Image: "img", ImageGB: 1, EstimatedRuntime: num("run", 20), CheckpointInterval: num("ckpt", 0), CheckpointCost: 2,
	}, dur("run", 20))
	c.jobs[f[1]].failsEverywhere = mistake
	return nil
}

// trouble strikes one machine.
func (c *Cluster) strikeMachine(f []string, dur func(string, float64) time.Duration) {
	w := c.worker(f[1])
	if w == nil || w.isGone {
		c.log("no machine %s", f[1])
		return
	}
	switch f[0] {
	case "hang":
		w.hang(dur("for", 20))
	case "take":
		w.vanish("is taken")
	case "deaf":
		c.log("nothing reaches %s", w.name)
		w.deafUntil = c.Now + dur("for", 60)
	case "copies":
		c.log("copies of reports of %s come late", w.name)
		w.copyUntil, w.copyDelay = c.Now+dur("for", 30), dur("most", 30)
		c.calmSince = max(c.calmSince, w.copyUntil+w.copyDelay)
	case "keep":
		w.keepUntil = c.Now + dur("for", 30)
	case "mute":
		c.log("%s reaches no controller", w.name)
		w.muteUntil = c.Now + dur("for", 60)
	case "sick":
		c.log("%s fails all it starts", w.name)
		w.isSick = true
	case "notice":
		c.log("%s is recalled", w.name)
		w.preemptedAt = c.Now + dur("in", 8)
		w.heartbeatSoon()
		c.after(dur("in", 8), func() {
			if !w.isGone {
				w.vanish("is taken")
			}
		})
	}
}
