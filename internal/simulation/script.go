package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"brassglade/internal/scheduler"
)

// Play reads a script, one action a line, and plays it:
//
//	seed N
//	drop GUARD
//	old                              (all controllers begin as the version before)
//	fill N                           (machines of each zone and kind that can be rented)
//	next value=N ops=N               (limits to come, as the settings name them)
//	zones                            (controllers lie in zones, which a cut can part)
//	rates                            (changes and requests a second are limited)
//	at T submit ID SHAPE N TEAM [run=S] [gpu=N] [cpu=N] [prio=N] [due=S] [spot] [onezone] [spread] [zone=Z] [types=T,T] [ckpt=S] [awaits=ID,ID] [mistake]
//	at T upgrade CONTROLLER back=S   (ends and comes back as the new version)
//	at T limits                      (the limits to come hold from now on)
//	at T cancel ID
//	at T crash CONTROLLER back=S     at T crash all back=S
//	at T cutzone Z drop|hold for=S   (controllers and machines of a zone from all others)
//	at T cut A B drop|hold for=S     (CONTROLLER may be "leader" everywhere; controllers, state, cloud, users, n-000001; * for all machines)
//	at T state down for=S            at T state refuse CONTROLLER for=S
//	at T cloud down for=S
//	at T hang MACHINE for=S          at T take MACHINE       at T notice MACHINE in=S
//	at T sick MACHINE
//	at T deaf MACHINE for=S          (its heartbeats arrive, answers and commands don't)
//	at T copies MACHINE for=S most=S (copies of its heartbeats come late)
//	at T keep MACHINE for=S          (its heartbeats come again, at every controller, as the next leader begins)
//	at T mute MACHINE for=S          (it reaches no controller, while commands reach it)
//	at T freeze CONTROLLER for=S     (stands still in the middle of a step, its clock goes on)
//	at T late CONTROLLER|all for=S share=X (transactions get no answer and are carried out 2 to 12 s later)
//	at T lost CONTROLLER|all for=S share=X (transactions are carried out, only their answer is lost)
//	at T slow for=S by=S             (the state service answers up to that much later)
//	at T quick for=S                 (machines rented meanwhile are up within two seconds)
//	at T boots ZONE late|never for=S (machines rented there meanwhile come up late or never)
//	at T storm for=S                 (users ask about their jobs ten times as often)
//	at T calloff N [hang=S]          (users cancel that many running jobs at once, whose machines may hang)
//	at T endings for=S share=X       (jobs are cancelled at the moment at which their last task ends)
//	at T looks for=S                 (users ask all controllers within milliseconds after each news, and submit again)
//	at T odd for=S                   (submissions of what can't run or lacks a field, repeats, cancellations of what is done)
//	blind                            (the checker takes no trouble for an excuse)
//	until T
func Play(text string) (*Cluster, error) { return play(text, nil) }

// play is Play with a look at all that leaves the schedulers.
func play(text string, onEffect func(*controllerProcess, scheduler.Effect)) (*Cluster, error) {
	s, err := parseScript(text)
	if err != nil {
		return nil, err
	}
	c := newCluster(s.seed, s.settings, s.initialTransactionLimit, s.startsAsPreviousVersion)
	c.noFaultGrace, c.marketCapacity, c.onEffect = s.noFaultGrace, s.marketCapacity, onEffect
	c.StartChecks()
	for _, l := range s.actions {
		c.after(l.at, func() {
			if err := c.playAction(l.words); err != nil {
				c.violated(ruleScript, "%v: %v", l.words, err)
			}
		})
	}
	c.Run(s.until)
	c.checkServed()
	return c, nil
}

// script is what a script says before it is played.
type script struct {
	seed                    uint64
	settings                scheduler.Settings
	initialTransactionLimit int
	startsAsPreviousVersion bool
	noFaultGrace            bool
	marketCapacity          int
	actions                 []scriptAction
	until                   time.Duration
}

// scriptAction is an action and when it is played.
type scriptAction struct {
	at    time.Duration
	words []string
}

func parseScript(text string) (*script, error) {
	s := &script{seed: 1, settings: Settings(), marketCapacity: defaultMarketCapacity}
	for _, l := range strings.Split(text, "\n") {
		words := strings.Fields(l)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := s.parseLine(l, words); err != nil {
			return nil, fmt.Errorf("%q: %w", l, err)
		}
	}
	return s, nil
}

func (s *script) parseLine(l string, words []string) (err error) {
	switch words[0] {
	case "seed":
		s.seed, err = strconv.ParseUint(words[1], 10, 64)
	case "blind":
		s.noFaultGrace = true
	case "rates":
		s.settings.WriteRate, s.settings.FairWriteRate, s.settings.ReadRate = 25*0.92/3, 25*0.92/3, 100*0.92/3
	case "zones":
		s.settings.ZoneOf = map[string]string{"c-0": "a", "c-1": "b", "c-2": "a"}
	case "fill":
		s.marketCapacity, err = strconv.Atoi(words[1])
	case "old":
		s.startsAsPreviousVersion = true
	case "next":
		err = s.parseNextLimits(l)
	case "drop":
		s.settings.DisabledGuard = scheduler.Guard(words[1])
	case "until":
		s.until, err = parseSeconds(words[1])
	case "at":
		var at time.Duration
		at, err = parseSeconds(words[1])
		s.actions = append(s.actions, scriptAction{at, words[2:]})
	default:
		err = fmt.Errorf("unknown word")
	}
	return err
}

// parseNextLimits reads the limits to come; those of the settings hold until then.
func (s *script) parseNextLimits(l string) error {
	s.settings.CurrentValueLimit, s.initialTransactionLimit = s.settings.ValueLimit, s.settings.TransactionLimit
	if _, err := fmt.Sscanf(l, "next value=%d ops=%d", &s.settings.ValueLimit, &s.settings.TransactionLimit); err != nil {
		return fmt.Errorf("next: %w", err)
	}
	return nil
}

func parseSeconds(s string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(s, 64)
	return time.Duration(seconds * float64(time.Second)), err
}
