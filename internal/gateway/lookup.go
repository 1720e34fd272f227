package gateway

// serveLookup serves a lookup.
func (c *call) serveLookup() {
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
