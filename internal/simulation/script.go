package simulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"brassglade/internal/scheduler"
)

// Play parses and plays a script, with one statement per line and # comments. It returns an error
// if the script can't be parsed. A machine is named like n-000001, a CONTROLLER like c-0 or, in
// actions, "leader" for the current leader. S and T (after "at" and "until") are seconds, X is a
// probability. The tasks of a job submitted with the option mistake fail on every machine.
//
// Statements:
//
//	seed N
//	drop GUARD                       (disables a guard of the schedulers)
//	old                              (all controllers start as the previous version)
//	fill N                           (how many machines of each zone and kind, spot or not, can be rented)
//	next value=N ops=N               (limits that apply after the action "limits": bytes of a value, changes of
//	                                 a transaction)
//	zones                            (controllers are in zones, so that cutzone separates them, too)
//	rates                            (schedulers limit their changes and requests per second)
//	at T submit ID SHAPE N TEAM [run=S] [gpu=N] [cpu=N] [prio=N] [due=S] [spot] [onezone] [spread] [zone=Z] [types=T,T] [ckpt=S] [awaits=ID,ID] [mistake]
//	at T upgrade CONTROLLER back=S   (ends and restarts after S as the new version)
//	at T limits                      (the limits of "next" apply from now on)
//	at T cancel ID
//	at T crash CONTROLLER back=S     at T crash all back=S
//	at T cutzone Z drop|hold for=S   (separates the controllers and machines of a zone from all others)
//	at T cut A B drop|hold for=S     (A and B: a controller, state, cloud, users, a machine; B also * for the
//	                                 machines n-000001 to n-000060)
//	at T state down for=S            at T state refuse CONTROLLER for=S
//	at T cloud down for=S
//	at T hang MACHINE for=S          (does nothing for a while)
//	at T take MACHINE                (the cloud provider takes it without notice)
//	at T notice MACHINE in=S         (the cloud provider takes it S after a notice)
//	at T sick MACHINE                (fails all tasks that it starts)
//	at T deaf MACHINE for=S          (its heartbeats arrive, but replies and commands don't reach it)
//	at T copies MACHINE for=S most=S (copies of its heartbeats arrive up to "most" later at any controller)
//	at T keep MACHINE for=S          (its heartbeats are sent again, to every controller, when the leader
//	                                 changes)
//	at T mute MACHINE for=S          (its heartbeats reach no controller, but commands reach it)
//	at T freeze CONTROLLER for=S     (stops in the middle of a step while its clock goes on)
//	at T late CONTROLLER|all for=S share=X
//	                                 (transactions get no response and are executed 2 to 12 s later)
//	at T lost CONTROLLER|all for=S share=X
//	                                 (transactions are executed, but their responses are lost)
//	at T slow for=S by=S             (responses of the state service are delayed by up to "by")
//	at T quick for=S                 (machines rented meanwhile boot within two seconds)
//	at T boots ZONE late|never for=S (machines rented there meanwhile take twice as long to boot, or never do)
//	at T storm for=S                 (users query their jobs ten times as often)
//	at T calloff N [hang=S]          (users cancel N running jobs within 0.2 s; up to eight of their machines
//	                                 may hang)
//	at T endings for=S share=X       (jobs are cancelled at the moment at which their last task finishes)
//	at T looks for=S                 (users query all controllers within milliseconds of each change, and
//	                                 resubmit)
//	at T odd for=S                   (invalid submissions, repeated submissions, cancellations of done jobs)
//	blind                            (the checker allows no extra time for faults)
//	until T                          (end of the scenario)
func Play(text string) (*Cluster, error) { return play(text, nil) }

// play is Play with a callback for each effect of a scheduler; nil: none.
func play(text string, onEffect func(*controllerProcess, scheduler.Effect)) (*Cluster, error) {
	s, err := parseScript(text)
	if err != nil {
		return nil, err
	}
	c := newCluster(s.seed, s.settings, s.initialTransactionLimit, s.startsAsPreviousVersion)
	c.noFaultGrace, c.marketCapacity, c.onEffect = s.noFaultGrace, s.marketCapacity, onEffect
	c.StartChecks()
	for _, a := range s.actions {
		c.after(a.at, func() {
			if err := c.playAction(a.words); err != nil {
				c.violated(ruleScript, "%v: %v", a.words, err)
			}
		})
	}
	c.Run(s.until)
	c.checkServed()
	return c, nil
}

// script is a parsed script.
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

// scriptAction is an action and the time at which it is played.
type scriptAction struct {
	at    time.Duration
	words []string
}

func parseScript(text string) (*script, error) {
	s := &script{seed: 1, settings: Settings(), marketCapacity: defaultMarketCapacity}
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		if err := s.parseLine(line, words); err != nil {
			return nil, fmt.Errorf("%q: %w", line, err)
		}
	}
	return s, nil
}

func (s *script) parseLine(line string, words []string) (err error) {
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
		err = s.parseNextLimits(line)
	case "drop":
		s.settings.DisabledGuard = scheduler.Guard(words[1])
	case "until":
		s.until, err = parseSeconds(words[1])
	case "at":
		var at time.Duration
		at, err = parseSeconds(words[1])
		s.actions = append(s.actions, scriptAction{at, words[2:]})
	default:
		err = fmt.Errorf("unknown statement")
	}
	return err
}

// parseNextLimits reads the limits that apply after the action "limits". Those of the settings
// apply until then.
func (s *script) parseNextLimits(line string) error {
	s.settings.CurrentValueLimit, s.initialTransactionLimit = s.settings.ValueLimit, s.settings.TransactionLimit
	if _, err := fmt.Sscanf(line, "next value=%d ops=%d", &s.settings.ValueLimit, &s.settings.TransactionLimit); err != nil {
		return fmt.Errorf("next: %w", err)
	}
	return nil
}

func parseSeconds(s string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(s, 64)
	return time.Duration(seconds * float64(time.Second)), err
}
