package codec

import "strings"

// jobNamePrefix is the prefix of job names. It is omitted in lists of names.
const jobNamePrefix = "job-"

// ParseJobNames returns the job names in a text that JoinJobNames wrote.
func ParseJobNames(text string) []string {
	names := strings.Fields(text)
	for i := range names {
		names[i] = jobNamePrefix + names[i]
	}
	return names
}

// JoinJobNames joins job names to texts of at most maxBytes bytes each. A single name that is longer
// gets a text of its own.
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
