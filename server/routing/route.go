package routing

import "clementinetray/api/control"

// Routable reports whether phase and orders let a backend server take new work.
func Routable(s *Snapshot, b *control.BackendServer) bool { return routable(s, b) }

// Share returns a number from 0 to 1 that is the same on each entry instance for the same id and salt.
func Share(id, salt string) float64 {
	return float64(stableHash(&Request{ID: id}, salt)%splitUnits) / splitUnits
}
