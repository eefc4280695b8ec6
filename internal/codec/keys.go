package codec

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys of the state service.
const (
	Root               = "b/"
	KeyView            = "b/view"
	KeyMachineTypes    = "b/flavors"
	PrefixMachineTypes = "b/flavors/"
	PrefixMember       = "b/member/"
	PrefixJob          = "b/job/"
	PrefixPack         = "b/pack/"
	PrefixTask         = "b/task/"
	PrefixTeam         = "b/team/"
	PrefixCordons      = "b/mach/"
	PrefixWindow       = "b/window/"
	PrefixDependencies = "b/need/"
)

func KeyJob(id string) string { return PrefixJob + id }

func KeyCell(id string, k, s int) string {
	return PrefixTask + id + "/" + strconv.Itoa(k) + "/" + strconv.Itoa(s)
}

func PackName(part string, k int) string { return part + "/" + strconv.Itoa(k) }

// Versions work side by side while controllers are replaced one by one, and a
// process that ends before its turn comes back as the version before. Nothing
// that the version before would misread is written until every controller of the
// settings has announced the format below, each in a key of its own that hangs on
// no grant. A controller that has announced never comes back as an older one, so
// the leader then writes that the format is on, and it stays on.
const (
	KeyFormat    = "b/format"
	PrefixFormat = "b/format/"
	// CurrentFormat: jobs that await others; values that move when they are too large.
	CurrentFormat = 2
)

const jobNamePrefix = "job-"

func ParseNames(text string) []string {
	l := strings.Fields(text)
	for i := range l {
		l[i] = jobNamePrefix + l[i]
	}
	return l
}

// JoinNames joins names to texts of at most the given bytes each.
func JoinNames(ids []string, most int) []string {
	var l []string
	for _, id := range ids {
		s := strings.TrimPrefix(id, jobNamePrefix)
		if n := len(l); n > 0 && len(l[n-1])+1+len(s) <= most {
			l[n-1] += " " + s
		} else {
			l = append(l, s)
		}
	}
	return l
}

func KeyDependencyPiece(id, tag string, k int) string {
	return fmt.Sprintf("%s%s/%s/%d", PrefixDependencies, id, tag, k)
}
