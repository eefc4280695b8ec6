// Package domain has the types that all of the program speaks in: resources, jobs, tasks,
// machines, teams, the view, and transactions of the state service. It imports nothing of
// the program. The short names in tags are those of stored values and never change.
package domain
