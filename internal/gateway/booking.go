package gateway

// serveBooking serves a booking.
func (c *call) serveBooking() {
	if !c.readBody() {
		return
	}
	a, problem := c.sendUntilAnswered()
	if problem != nil {
		c.refuse(*problem)
		return
	}
	c.finish(a)
}
