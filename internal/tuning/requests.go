package tuning

import "time"

// Users.
const (
	// PollPatience ends the wait of a poll for its read index; users wait 2 s.
	PollPatience = 1200 * time.Millisecond
	// RetryAfterS is told to users who could not be served, in seconds.
	RetryAfterS = 1
	// UserQueue bounds the user requests waiting for the core; beyond it the
	// answer is an immediate 503.
	UserQueue = 64
	// WorkerQueue bounds the waiting check-ins, at least one per machine.
	WorkerQueue = 256
	// ConnectionShare and MaxConnections, in percent of the sockets: beyond the first, users'
	// connections are closed after their answer; beyond the second, users are told
	// at once to come back. What is left is for workers and this node's own.
	ConnectionShare = 70
	MaxConnections  = 92
	// ServedIdle closes a connection that nobody uses; workers report more often.
	ServedIdle = 40 * time.Second
	// BodyLimit is the largest request body, by the protocol.
	BodyLimit = 64 << 10
	// HeaderTimeout ends a connection whose request's head doesn't come.
	HeaderTimeout = 10 * time.Second
)
