package simulation

import (
	"fmt"
	"net/http"
	"time"

	"brassglade/internal/scheduler"
	"brassglade/internal/tuning"
)

// wallClockStartMS is the wall-clock time at virtual time 0, in ms since the Unix epoch.
const wallClockStartMS = 1_800_000_000_000

// controllerProcess is one controller process around a real scheduler.
type controllerProcess struct {
	cluster           *Cluster
	name              string
	controller        *scheduler.Controller // nil: the process is not running
	generation        int                   // counts starts and ends; calls and responses of an earlier one are dropped
	startedAt         time.Duration
	clockRate         float64 // speed of its clock relative to virtual time
	lastRequest       uint64
	pendingReplies    map[uint64]func(scheduler.Effect) // callbacks that wait for a reply, by request ID
	watchRevision     uint64                            // up to which it has seen the state service's changes
	isPreviousVersion bool                              // has the stored formats and the limits of the previous version

	// A frozen process stops in the middle of a step while its clock goes on. When it resumes, the
	// effects of that step are applied first, then the events that arrived meanwhile are handled.
	frozenUntil     time.Duration
	withheldEffects []scheduler.Effect
	missedEvents    []scheduler.Event
}

// clock returns the time since the process started by its own clock, which runs at clockRate.
func (p *controllerProcess) clock() time.Duration {
	return time.Duration(float64(p.cluster.Now-p.startedAt) * p.clockRate)
}

// boot starts the process with a new scheduler, its ticks and its watch of the state service.
func (p *controllerProcess) boot() {
	c := p.cluster
	p.generation++
	p.startedAt = c.Now
	settings := c.settings
	settings.Controller, settings.Seed = p.name, uint64(p.generation)
	settings.WallClockMS = wallClockStartMS + c.Now.Milliseconds()
	if p.isPreviousVersion {
		settings.PreviousFormat = true
		settings.ValueLimit = max(settings.ValueLimit, settings.CurrentValueLimit)
		settings.TransactionLimit = max(settings.TransactionLimit, c.initialTransactionLimit)
	}
	p.controller = scheduler.New(settings, fmt.Sprintf("%s.%d", p.name, p.generation))
	p.pendingReplies = map[uint64]func(scheduler.Effect){}
	generation := p.generation
	var tick func()
	tick = func() {
		if p.generation == generation && p.controller != nil {
			p.step(scheduler.Tick{})
			c.after(tuning.Tick, tick)
		}
	}
	c.after(time.Duration(c.rng.IntN(100))*time.Millisecond, tick)
	p.loadSnapshot(generation)
}

// crash ends the process, which starts again after downtime unless it was started before.
func (p *controllerProcess) crash(downtime time.Duration) {
	if p.controller == nil {
		return
	}
	p.cluster.log("%s ends", p.name)
	p.controller, p.pendingReplies = nil, nil
	p.frozenUntil, p.withheldEffects, p.missedEvents = 0, nil, nil
	p.generation++
	p.cluster.after(downtime, func() {
		if p.controller == nil {
			p.cluster.log("%s starts", p.name)
			p.boot()
		}
	})
}

// step passes an event to the scheduler and applies the effects. A frozen process withholds the
// effects of its first step that has any, and from then on only collects events.
func (p *controllerProcess) step(event scheduler.Event) {
	if p.controller == nil {
		return
	}
	isFrozen := p.cluster.Now < p.frozenUntil
	if isFrozen && len(p.withheldEffects) > 0 {
		p.missedEvents = append(p.missedEvents, event)
		return
	}
	effects := p.timedStep(event)
	if isFrozen {
		p.withheldEffects = effects
		return
	}
	for _, e := range effects {
		p.applyEffect(e)
	}
}

// timedStep runs a step of the scheduler and measures its time if measuresSteps is set.
func (p *controllerProcess) timedStep(event scheduler.Event) []scheduler.Effect {
	if !p.cluster.measuresSteps {
		return p.controller.Step(p.clock(), event)
	}
	start := time.Now()
	effects := p.controller.Step(p.clock(), event)
	elapsed := time.Since(start)
	p.cluster.stepTime += elapsed
	p.cluster.longestStep = max(p.cluster.longestStep, elapsed)
	return effects
}

// freeze stops the process for a duration, starting with its next step that has effects.
func (p *controllerProcess) freeze(duration time.Duration) {
	if p.controller == nil {
		return
	}
	p.cluster.log("%s stands still, its clock goes on", p.name)
	p.frozenUntil = p.cluster.Now + duration
	generation := p.generation
	p.cluster.after(duration, func() {
		if p.generation == generation {
			p.resume()
		}
	})
}

// resume continues a frozen process: it applies the withheld effects, then handles missed events.
func (p *controllerProcess) resume() {
	p.cluster.log("%s goes on, %d events late", p.name, len(p.missedEvents))
	p.cluster.occurred("woken")
	effects, events := p.withheldEffects, p.missedEvents
	p.withheldEffects, p.missedEvents = nil, nil
	for _, e := range effects {
		if reply, ok := e.(scheduler.HeartbeatReply); ok && reply.Status == http.StatusOK {
			p.cluster.occurred("answer decided before a freeze")
		}
		p.applyEffect(e)
	}
	for _, e := range events {
		p.step(e)
	}
}

// request passes a request to the scheduler; done is called with the reply. A request to a process
// that is not running gets no reply.
func (p *controllerProcess) request(event func(requestID uint64) scheduler.Event, done func(scheduler.Effect)) {
	if p.controller == nil {
		return
	}
	p.lastRequest++
	p.pendingReplies[p.lastRequest] = done
	p.step(event(p.lastRequest))
}

// reply passes a reply to the callback of its request, and forgets the callback.
func (p *controllerProcess) reply(requestID uint64, e scheduler.Effect) {
	if done := p.pendingReplies[requestID]; done != nil {
		delete(p.pendingReplies, requestID)
		done(e)
	}
}

// loadSnapshot loads the whole state, retrying until the state service responds, and then watches
// the changes since its revision.
func (p *controllerProcess) loadSnapshot(generation int) {
	if p.generation != generation {
		return
	}
	c := p.cluster
	c.call(p.name, participantState, 2*tuning.StateTimeout, func(reply func(any)) { reply(c.state.snapshot(p.name)) }, func(response any) {
		if p.generation != generation {
			return
		}
		loaded, ok := response.(scheduler.SnapshotLoaded)
		if !ok {
			c.after(tuning.ConfirmationRetry, func() { p.loadSnapshot(generation) })
			return
		}
		p.watchRevision = loaded.Revision
		p.step(loaded)
		p.watch(generation)
	})
}

// watch repeatedly requests the changes since the revision that the process has seen.
func (p *controllerProcess) watch(generation int) {
	if p.generation != generation {
		return
	}
	c := p.cluster
	sent := p.clock()
	c.call(p.name, participantState, tuning.WatchWait+tuning.StateTimeout, func(reply func(any)) { c.state.watch(p.name, p.watchRevision, reply) }, func(response any) {
		if p.generation != generation {
			return
		}
		pause := tuning.ConfirmationRetry
		if advanced, ok := response.(scheduler.WatchAdvanced); ok {
			p.watchRevision = max(p.watchRevision, advanced.Revision)
			advanced.Sent = sent
			p.step(advanced)
			pause = tuning.MinWatchInterval
		}
		c.after(pause, func() { p.watch(generation) })
	})
}
