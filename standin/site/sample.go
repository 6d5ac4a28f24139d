package site

import "clementinetray/api/catalogue"

// Caller keys of the sample catalogue's workspaces.
const (
	LargeKey = "key-of-the-large-workspace"
	SmallKey = "key-of-the-small-workspace"
)

// Model versions of the sample catalogue.
var (
	CheapVersion = catalogue.VersionRef{Model: "cheap", Version: "v1"}
	DearVersion  = catalogue.VersionRef{Model: "dear", Version: "v1"}
)

// SampleCatalogue returns a catalogue with the inexpensive model "cheap" and the expensive model "dear", two classes that
// use both models, two workspaces, and the plain service "orders", whose POST /commit isn't idempotent.
func SampleCatalogue() *catalogue.Catalogue {
	return &catalogue.Catalogue{
		Models: []catalogue.Model{
			{Name: "cheap", Owner: "models", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 100_000}}},
			{Name: "dear", Owner: "models", Versions: []catalogue.Version{{Name: "v1", CostPerMillionTokens: 2_000_000}}},
		},
		Classes: []catalogue.Class{
			{Name: "lookup", QualityTarget: 0.6, Models: []string{"cheap", "dear"}, Priority: 1},
			{Name: "assessment", QualityTarget: 0.85, Models: []string{"cheap", "dear"}, Cascade: true},
		},
		Services: []catalogue.Service{{Name: "orders", Owner: "records", Routes: []catalogue.ServiceRoute{
			{Method: "GET", Prefix: "/", Idempotent: true}, {Method: "POST", Prefix: "/commit", Idempotent: false},
		}}},
		Workspaces: []catalogue.Workspace{
			{Name: "large", KeySHA256: []string{Hash(LargeKey)}, Models: []string{"cheap", "dear"},
				Classes: []string{"lookup", "assessment"}, Services: []string{"orders"}, MaxConcurrent: 200, Weight: 4},
			{Name: "small", KeySHA256: []string{Hash(SmallKey)}, Models: []string{"cheap"}, Classes: []string{"lookup"}, MaxConcurrent: 50},
		},
	}
}
