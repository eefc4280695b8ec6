package simulation

import "time"

// Modes of a cut: what happens to messages between the separated sides.
const (
	cutDrops = "drop" // messages are lost
	cutHolds = "hold" // messages are delivered when the cut ends
)

// Names of the participants other than controllers and machines.
const (
	participantState = "state"
	participantCloud = "cloud"
	participantUsers = "users"
)

// network holds the cuts between the cluster's participants, of links and of a whole zone, and the
// messages that they hold back.
type network struct {
	linkCuts      map[string]string   // mode of the cut, by link
	heldByLinkCut map[string][]func() // deliveries held back until the end of the cut, by link

	cutOffZone    string // the zone cut off from everything outside it; "": none
	zoneCutMode   string
	heldByZoneCut []func() // deliveries held back until the end of the zone's cut
}

func newNetwork() network {
	return network{linkCuts: map[string]string{}, heldByLinkCut: map[string][]func(){}}
}

// linkKey returns the key of the link between two participants, in either order.
func linkKey(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

// send calls deliver after 1 to 5 ms, unless a cut drops the message or holds it back. Held
// messages are delivered 1 ms after the end of the cut.
func (c *Cluster) send(from, to string, deliver func()) {
	n := &c.network
	if n.cutOffZone != "" && c.isInCutOffZone(from) != c.isInCutOffZone(to) {
		if n.zoneCutMode == cutHolds {
			n.heldByZoneCut = append(n.heldByZoneCut, deliver)
		}
		return
	}
	key := linkKey(from, to)
	switch n.linkCuts[key] {
	case cutDrops:
		return
	case cutHolds:
		n.heldByLinkCut[key] = append(n.heldByLinkCut[key], deliver)
		return
	}
	c.after(time.Duration(1+c.rng.IntN(5))*time.Millisecond, deliver)
}

// call sends a request. serve runs at the receiver and passes its response to reply; done runs
// once at the sender, with the response, or with nil if none arrives within the limit.
func (c *Cluster) call(from, to string, limit time.Duration, serve func(reply func(any)), done func(any)) {
	isDone := false
	finish := func(response any) {
		if !isDone {
			isDone = true
			done(response)
		}
	}
	c.send(from, to, func() {
		serve(func(response any) {
			c.send(to, from, func() { finish(response) })
		})
	})
	c.after(limit, func() { finish(nil) })
}

// cutLink cuts the link between two participants for a duration.
func (c *Cluster) cutLink(a, b, mode string, duration time.Duration) {
	key := linkKey(a, b)
	c.network.linkCuts[key] = mode
	c.after(duration, func() {
		delete(c.network.linkCuts, key)
		for _, deliver := range c.network.heldByLinkCut[key] {
			c.after(time.Millisecond, deliver)
		}
		delete(c.network.heldByLinkCut, key)
	})
}

// cutZone cuts the controllers and machines of a zone off from everything outside it for a duration.
func (c *Cluster) cutZone(zone, mode string, duration time.Duration) {
	c.log("zone %s is cut off (%s)", zone, mode)
	c.network.cutOffZone, c.network.zoneCutMode = zone, mode
	c.faultsOverAt = max(c.faultsOverAt, c.Now+duration)
	c.after(duration, func() {
		c.network.cutOffZone = ""
		c.log("zone %s is back", zone)
		for _, deliver := range c.network.heldByZoneCut {
			c.after(time.Millisecond, deliver)
		}
		c.network.heldByZoneCut = nil
	})
}

// isInCutOffZone reports whether a controller or machine is in the zone that is cut off.
func (c *Cluster) isInCutOffZone(name string) bool {
	if w := c.workersByName[name]; w != nil {
		return w.zone == c.network.cutOffZone
	}
	return c.settings.ZoneOf[name] == c.network.cutOffZone
}
