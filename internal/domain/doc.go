// Package domain defines the types that all packages share: resources, jobs, tasks, machines, team
// quotas, the view, and transactions of the state service. It imports no other package of the
// program. The short names in struct tags are part of stored values and must never change.
package domain
