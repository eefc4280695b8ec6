package tuning

import "time"

// Connections to other controllers.
const (
	// PeerQueue is the most frames that wait for one peer; older news is stale.
	PeerQueue = 8
	// PeerTimeout ends a connect or a write to a peer, whose news is stale if it takes
	// longer.
	PeerTimeout = time.Second
	// PeerAckTimeout is how long a frame may lack its acknowledgement before the connection
	// counts as cut and is opened anew.
	PeerAckTimeout = 4 * time.Second
	// PeerRetryPause is the pause after a failed connect or write, in which frames are
	// dropped.
	PeerRetryPause = 500 * time.Millisecond
	// PeerIdleTimeout closes a connection of a peer that sends nothing; peers send about
	// once a second.
	PeerIdleTimeout = 15 * time.Second
	// PeerFresh is the age up to which a peer's message shows that no cut lies between it
	// and this controller.
	PeerFresh = 4 * time.Second
)

// Readiness: whether the load balancer should send users to this controller.
const (
	// UsableAge is the age up to which an answered confirmation shows that the state service
	// answers this controller: half of FenceAge, so that users are sent elsewhere before
	// workers must be refused.
	UsableAge = 3500 * time.Millisecond
	// UnreadyDelay is how long another controller must be the better choice before this one
	// leaves the load balancer: in an outage for all, controllers notice it some time after
	// each other.
	UnreadyDelay = 2500 * time.Millisecond
)

// Connections of HTTP clients.
const (
	// IdleConnectionLifetime is how long a connection that nobody used is trusted: a server
	// that closed it meanwhile would cost a request whose outcome is unknown.
	IdleConnectionLifetime = 8 * time.Second
	// MaxIdleConnections is the most idle connections that one client keeps.
	MaxIdleConnections = 8
	// DirectCommandTimeout ends a request that carries commands straight to a worker; the
	// answer to its next heartbeat carries them as well.
	DirectCommandTimeout = 2 * time.Second
	// MaxDirectCommands is the most such requests under way, so that machines that don't
	// answer can't take up all sockets.
	MaxDirectCommands = 16
	// MaxWorkerClients is the most workers to which connections are remembered; beyond it all
	// are forgotten, and those in use come back.
	MaxWorkerClients = 500
)
