package ratings

// Publish creates the next table immediately.
func (f *Store) Publish(term uint64) { f.publish(term) }
