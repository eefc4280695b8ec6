package tuning

import "time"

// Requests of users and workers.
const (
	// QueryTimeout ends the wait of a user's query for a confirmation of what the cache
	// has. Users wait 2 s.
	QueryTimeout = 1200 * time.Millisecond
	// RetryAfterSeconds is when clients that could not be served are asked to come again:
	// the least that the header can say, since most causes are over by then.
	RetryAfterSeconds = 1
	// UserQueue is the most user requests that wait for the scheduler; beyond it the answer
	// is an immediate 503, which costs less than a late one.
	UserQueue = 64
	// WorkerQueue is the most heartbeats that wait for the scheduler, at least one for each
	// machine of a controller, and the most events that wait beside them.
	WorkerQueue = 256
	// CloseConnectionsPercent of the process's sockets taken: beyond it users' connections
	// are closed after their answer, to leave room for workers, which keep theirs.
	CloseConnectionsPercent = 70
	// RefuseUsersPercent of the process's sockets taken: beyond it users are told at once to
	// come back. What is left is for workers and this controller's own connections.
	RefuseUsersPercent = 92
	// ServerIdleTimeout closes a connection that nobody uses; workers send more often.
	ServerIdleTimeout = 40 * time.Second
	// HeaderTimeout closes a connection on which a request's head doesn't come, so that
	// broken clients can't hold sockets for good.
	HeaderTimeout = 10 * time.Second
	// BodyLimit is the largest request body in bytes, by the protocol.
	BodyLimit = 64 << 10
)
