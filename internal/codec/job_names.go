package codec

import "strings"

// jobNamePrefix is what the names of jobs begin with; lists of names leave it out.
const jobNamePrefix = "job-"

// ParseJobNames reads the names of jobs from a text by JoinNames.
func ParseJobNames(text string) []string {
	names := strings.Fields(text)
	for i := range names {
		names[i] = jobNamePrefix + names[i]
	}
	return names
}

// JoinJobNames joins the names of jobs to texts of at most maxBytes each, but for a single name
// that is longer.
func JoinJobNames(ids []string, maxBytes int) []string {
	var texts []string
	for _, id := range ids {
		name := strings.TrimPrefix(id, jobNamePrefix)
		if last := len(texts) - 1; last >= 0 && len(texts[last])+1+len(name) <= maxBytes {
			texts[last] += " " + name
		} else {
			texts = append(texts, name)
		}
	}
	return texts
}
