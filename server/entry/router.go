package entry

import (
	"math/rand/v2"

	"clementinetray/api/catalogue"
	"clementinetray/api/problem"
	"clementinetray/server/routing"
)

// Router chooses model versions and backend servers for requests. It must be safe for concurrent use.
type Router interface {
	// ChooseVersion chooses the model version that the request runs on.
	ChooseVersion(s *routing.Snapshot, r *routing.Request) (routing.VersionChoice, *problem.Problem)
	// ChooseServer chooses a backend server of the version v, or of the request's service when v is zero. After the reasons
	// Overloaded and NoBackendServer the caller may wait and try again.
	ChooseServer(s *routing.Snapshot, r *routing.Request, v catalogue.VersionRef, rng *rand.Rand) (routing.ServerChoice, *problem.Problem)
}

// RouterFuncs implements Router with two functions.
type RouterFuncs struct {
	Version func(s *routing.Snapshot, r *routing.Request) (routing.VersionChoice, *problem.Problem)
	Server  func(s *routing.Snapshot, r *routing.Request, v catalogue.VersionRef, rng *rand.Rand) (routing.ServerChoice, *problem.Problem)
}

// ChooseVersion implements Router.
func (f RouterFuncs) ChooseVersion(s *routing.Snapshot, r *routing.Request) (routing.VersionChoice, *problem.Problem) {
	return f.Version(s, r)
}

// ChooseServer implements Router.
func (f RouterFuncs) ChooseServer(s *routing.Snapshot, r *routing.Request, v catalogue.VersionRef, rng *rand.Rand) (routing.ServerChoice, *problem.Problem) {
	return f.Server(s, r, v, rng)
}
