package tuning

import "time"

// Connections to other controllers.
const (
	// PeerQueue is the largest number of frames that wait for one peer; older state is
	// outdated.
	PeerQueue = 8
	// PeerTimeout ends a connect or a write to a peer. State that takes longer to send is
	// outdated.
	PeerTimeout = time.Second
	// PeerAckTimeout is how long a frame may remain unacknowledged before the connection
	// counts as broken and is opened again.
	PeerAckTimeout = 4 * time.Second
	// PeerRetryPause is the pause after a failed connect or write, during which frames are
	// dropped.
	PeerRetryPause = 500 * time.Millisecond
	// AcceptRetry is the pause after a connection could not be accepted for lack of resources.
	AcceptRetry = 100 * time.Millisecond
	// PeerIdleTimeout closes a connection on which the peer sends nothing; peers send about
	// once a second.
	PeerIdleTimeout = 15 * time.Second
	// PeerFresh is the age up to which a peer's message shows that no network partition
	// separates it from this controller.
	PeerFresh = 4 * time.Second
)

// Readiness: whether the load balancer should send users to this controller.
const (
	// UsableAge is the age up to which an answered confirmation shows that the state service
	// answers this controller. It is half of FenceAge, so that users are sent elsewhere before
	// workers must be refused.
	UsableAge = 3500 * time.Millisecond
	// UnreadyDelay is how long another controller must be the better choice before this one
	// leaves the load balancer. Controllers notice an outage that affects all of them at
	// slightly different times.
	UnreadyDelay = 2500 * time.Millisecond
)

// Connections of HTTP clients.
const (
	// IdleConnectionLifetime is how long an unused connection is kept. A request on a
	// connection that the server has closed meanwhile would fail with an unknown outcome.
	IdleConnectionLifetime = 8 * time.Second
	// MaxIdleConnections is the largest number of idle connections that one client keeps.
	MaxIdleConnections = 8
	// DirectCommandTimeout ends a request that sends commands directly to a worker. The
	// answer to the worker's next heartbeat contains them as well.
	DirectCommandTimeout = 2 * time.Second
	// MaxDirectCommands is the largest number of such requests under way, so that machines
	// that don't answer can't take up all sockets.
	MaxDirectCommands = 16
	// MaxWorkerClients is the largest number of workers for which clients with open
	// connections are kept. Beyond it all are dropped, and those in use are created again.
	MaxWorkerClients = 500
)
