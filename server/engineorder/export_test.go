package engineorder

// Wait waits until each order was answered or timed out.
func (c *Controller) Wait() { c.wg.Wait() }
