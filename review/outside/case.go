package outside

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 118 * time.Second

// Case is one run of a case: a site with its controllers and everything outside of them.
type Case struct {
	Began   time.Time
	Trouble bool // false with TROUBLE=0
	Record  *Record
	Cluster *Cluster
	Cloud   *Cloud
	Jobs    *Jobs
	Users   *Users
}

// Play runs a case and ends the process with its exit code. The argument of the program is the case's
// folder; the working directory is the repository. setUp returns the site, its machine types and its
// capacity, and play does what the case is about once all controllers are up.
func Play(setUp func() (Site, []Flavor, map[Kind]int), play func(*Case) (int, error)) {
	time.AfterFunc(caseLimit, func() {
		fmt.Println("could not run: not over in time")
		os.Exit(CouldNot) // the controllers end with this process
	})
	code, err := inFolder(setUp, play)
	if err != nil {
		fmt.Println("could not run:", err)
		code = CouldNot
	}
	os.Exit(code)
}

// inFolder runs a case with a temporary folder for settings and logs. KEEP_LOG names a file that the
// controllers' log is copied to.
func inFolder(setUp func() (Site, []Flavor, map[Kind]int), play func(*Case) (int, error)) (int, error) {
	if len(os.Args) != 2 {
		return CouldNot, errors.New("the argument is the case's folder")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return CouldNot, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	c := &Case{Began: time.Now(), Trouble: os.Getenv("TROUBLE") != "0"}
	if c.Record, err = NewRecord(filepath.Join(os.Args[1], "record.txt")); err != nil {
		return CouldNot, err
	}
	code, err := c.start(folder, setUp, play)
	if kept := os.Getenv("KEEP_LOG"); kept != "" {
		if text, err := os.ReadFile(filepath.Join(folder, logName)); err == nil {
			_ = os.WriteFile(kept, text, 0o600)
		}
	}
	return code, err
}

// start starts the controllers and the stand-ins, plays the case and ends all.
func (c *Case) start(folder string, setUp func() (Site, []Flavor, map[Kind]int), play func(*Case) (int, error)) (int, error) {
	site, flavors, capacity := setUp()
	root, err := os.Getwd()
	if err != nil {
		return CouldNot, err
	}
	if c.Cluster, err = NewCluster(root, folder, site, c.Record); err != nil {
		return CouldNot, err
	}
	defer c.Cluster.Stop()
	c.Jobs = NewJobs(c.Record)
	c.Cloud = NewCloud(c.Record, flavors, capacity, site.CloudRPS, seconds(site.ListLagS), QuickBoot, c.Cluster.WorkerSettings(), c.Jobs)
	if err := c.Cluster.Start(c.Cloud.Handler()); err != nil {
		return CouldNot, err
	}
	c.Users = NewUsers(c.Cluster, c.Jobs)
	if !c.Users.WaitUp(15 * time.Second) {
		return CouldNot, errors.New("not all controllers are up")
	}
	return play(c)
}

// Submit submits a job that has to be accepted.
func (c *Case) Submit(job *Job) error {
	if state := c.Users.Submit(job); !state.IsAccepted() {
		return fmt.Errorf("%s was answered with %d", job.ID, state.Code)
	}
	return nil
}

// AlsoSeen records what is not judged: starts that broke a rule, and controllers that ended by themselves.
func (c *Case) AlsoSeen() {
	for _, breach := range c.Jobs.Breaches() {
		c.Record.Print("also seen: %s", breach)
	}
	for _, name := range c.Cluster.Ended() {
		c.Record.Print("also seen: %s ended by itself", name)
	}
}
