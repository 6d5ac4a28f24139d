package routing

import "clementinetray/api/control"

// Routable reports whether a backend server may take new work according to its phase and the operators' orders.
func Routable(s *Snapshot, b *control.BackendServer) bool { return routable(s, b) }

// StableFraction maps an id to a fraction (0 <= fraction < 1). It is the same on all entry instances for the same id and salt.
func StableFraction(id, salt string) float64 {
	return float64(stableHash(&Request{ID: id}, salt)%hashBucketCount) / hashBucketCount
}
