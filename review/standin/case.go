package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The statuses with which a case ends.
const (
	statusHeld   = 0 // the rule held
	statusBroken = 1 // the rule was broken
	statusFailed = 2 // the case couldn't run
)

// runLimit is how long a case may take.
const runLimit = 117 * time.Second

// startLimit is how long all controllers together may take to be up.
const startLimit = 15 * time.Second

// runCommand finds the command that starts a controller in the deploy file.
var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// Case plays a deployment. It returns whether the case could run; rules that were broken are told to
// the deployment's Rules.
type Case func(d *Deployment, trouble bool) error

// Main runs a case and ends the process with the case's status. The folder of the case is the first
// argument, the repository's root is the working directory, and the environment variable TROUBLE
// set to 0 leaves the disruption out.
func Main(options Options, play Case) {
	status, err := run(options, play)
	if err != nil {
		fmt.Println("the case couldn't run:", err)
	}
	os.Exit(status)
}

func run(options Options, play Case) (status int, err error) {
	if len(os.Args) != 2 {
		return statusFailed, errors.New("the first argument must be the folder of the case")
	}
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return statusFailed, err
	}
	match := runCommand.FindSubmatch(deploy)
	if match == nil {
		return statusFailed, errors.New("deploy/service.toml has no run command")
	}
	options.RunCommand = string(match[1])
	options.Program = strings.Fields(options.RunCommand)[0]
	if options.Folder, err = os.MkdirTemp("", "review"); err != nil {
		return statusFailed, err
	}
	if os.Getenv("CASE_KEEP") == "" {
		defer func() { _ = os.RemoveAll(options.Folder) }()
	} else {
		fmt.Println("settings and logs in", options.Folder)
	}
	record, err := NewRecord(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		return statusFailed, err
	}
	defer record.Close()
	return playCase(record, options, play)
}

// playCase starts the deployment, plays the case and judges it.
func playCase(record *Record, options Options, play Case) (status int, err error) {
	d, err := New(record, options)
	if err != nil {
		return statusFailed, err
	}
	defer d.Close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	finished := make(chan error, 1)
	go func() {
		if err := d.StartAll(startLimit); err != nil {
			finished <- err
			return
		}
		finished <- play(d, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case err = <-finished:
	case <-time.After(runLimit):
		err = errors.New("the case takes too long")
	case s := <-interrupted:
		err = fmt.Errorf("ended by %v", s)
	}
	if err != nil {
		record.Logf("the case couldn't run: %v", err)
		return statusFailed, err
	}
	broken := d.Rules().Broken()
	for i, text := range broken {
		if i == 5 {
			fmt.Printf("and %d more\n", len(broken)-i)
			break
		}
		fmt.Println("broken:", text)
	}
	if len(broken) > 0 {
		return statusBroken, nil
	}
	fmt.Println("held")
	record.Logf("all rules held")
	return statusHeld, nil
}
