package ratings

// Publish creates the next table immediately.
func (s *Store) Publish(term uint64) { s.publish(term) }
