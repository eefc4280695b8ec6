package simulation

import (
	"fmt"
	"testing"
)

// TestZoneBoundJobsGetMachines has jobs wait while the free machines are in zones that they can't
// use. Machines must be rented where the jobs can run. Once, the unusable room was counted as
// room for these jobs: the gangs never started, and the services never got their last tasks.
func TestZoneBoundJobsGetMachines(t *testing.T) {
	for name, x := range map[string]struct {
		warm map[string]int // machines that are already rented, by zone
		job  string
		n    int
	}{
		"spread gang, room in one zone":        {map[string]int{"a": 4}, "gang 4 blue run=20 gpu=4 spread", 4},
		"one-zone gang, room split over zones": {map[string]int{"a": 2, "b": 2}, "gang 4 blue run=20 gpu=4 onezone", 4},
		"spread service, room in one zone":     {map[string]int{"a": 4}, "service 4 blue run=20 gpu=4 spread", 4},
		"one-zone service, two of five placed": {map[string]int{"a": 2, "b": 2}, "service 5 blue run=20 gpu=4 onezone", 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script, id := "seed 3\n", 100
			for _, zone := range []string{"a", "b"} {
				for n := x.warm[zone]; n > 0; n-- {
					script += fmt.Sprintf("at 1 submit job-%06d gang 1 blue run=20 gpu=4 zone=%s\n", id, zone)
					id++
				}
			}
			c := mustPlay(t, script+"at 40 submit job-000001 "+x.job+"\nuntil 400\n")
			runs := c.firstRunTimes("job-000001")
			if len(runs) != x.n || runs[x.n-1] > 70 {
				t.Errorf("tasks first ran at %v s, want all by 70 s; submitted at 40 s", runs)
			}
			expectNoViolation(t, c)
		})
	}
}

// TestSmallJobBesideSpreadService runs a service spread over zones and submits a gang and a small
// array of the same team, whose limit has no room for the gang. Neither may keep the array
// waiting while a machine has room for it.
func TestSmallJobBesideSpreadService(t *testing.T) {
	c := mustPlay(t, "seed 3\nat 1 submit job-000001 service 4 red run=1 gpu=1 spread\n"+
		"at 20 submit job-000002 gang 3 red run=20 gpu=4\n"+
		"at 30 submit job-000003 array 4 red run=10 gpu=1 spot\nat 600 cancel job-000001\nuntil 800\n")
	if runs := c.firstRunTimes("job-000003"); len(runs) != 4 || runs[3] > 240 {
		t.Errorf("ran at %v, submitted at 30", runs)
	}
}
