package ratings

// Publish creates the next table immediately.
func (f *Fleet) Publish(term uint64) { f.publish(term) }
