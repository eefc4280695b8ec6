package domain

// KeyValue is an item of the state service.
type KeyValue struct {
	Key         string
	Value       []byte // nil: deleted
	ModRevision uint64
}

// Condition is a condition of a commit.
type Condition struct {
	Key         string
	ModRevision uint64
}

// Put is a change of a commit.
type Put struct {
	Key     string
	Value   []byte // nil: delete
	LeaseID uint64
}

// Transaction is a conditional write.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
}

// CommitResult of a commit.
type CommitResult int

// The results of a commit.
const (
	Committed CommitResult = iota
	Conflict
	Refused // not executed (429, 503, 400)
	InDoubt // may have been executed or may yet be
)
