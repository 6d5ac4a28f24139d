package ratings_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/catalogue"
	"clementinetray/api/control"
	"clementinetray/server/blackboard"
	"clementinetray/server/ratings"
)

type fixedState struct{ view *control.View }

func (s fixedState) View() *control.View { return s.view }

var _ = Describe("Fleet", func() {
	ref := catalogue.VersionRef{Model: "cheap", Version: "v1"}
	state := fixedState{&control.View{Catalogue: &catalogue.Catalogue{
		Models:  []catalogue.Model{{Name: "cheap", Versions: []catalogue.Version{{Name: "v1"}}}},
		Classes: []catalogue.Class{{Name: "lookup", Models: []string{"cheap"}}},
	}}}
	// runOnce runs the leader until it has published its first table.
	runOnce := func(f *ratings.Store, term uint64) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(f.Run(ctx, term)).To(Succeed())
	}
	report := []control.Outcome{{Class: "lookup", VersionRef: ref, RatingSum: 90, Ratings: 100}}

	It("adds up the sums reported by all entry instances, so that each uses the ratings of the whole fleet", func() {
		f := ratings.NewStore(state)
		runOnce(f, 2)
		before := f.TableIfNewer(0)
		for _, instance := range []string{"i1", "i2", "i3"} {
			f.AddOutcomes(time.Now(), instance, report)
		}
		f.Publish(2)
		after := f.TableIfNewer(before.Version)
		Expect(after.Version).To(BeNumerically(">", before.Version))
		row := after.Rows[0]
		Expect(row.Alpha / (row.Alpha + row.Beta)).To(BeNumerically("~", 0.9, 0.02))
		Expect(row.Alpha + row.Beta).To(BeNumerically(">", 200))
	})

	It("continues from the copy of the last leader's table, so that a leader change doesn't discard weeks of ratings", func() {
		f := ratings.NewStore(state)
		previous := &control.RatingTable{Version: 9 << 32, Rows: []control.RatingRow{{Class: "lookup", VersionRef: ref, Alpha: 90, Beta: 10}}}
		f.Load(previous)
		runOnce(f, 10)
		Expect(f.TableIfNewer(0).Rows).To(Equal(previous.Rows))
	})

	It("never loads an older table, which a lagging replica may send", func() {
		f := ratings.NewStore(state)
		f.Load(&control.RatingTable{Version: 5})
		f.Load(&control.RatingTable{Version: 4, Frozen: true})
		Expect(f.TableIfNewer(0).Version).To(BeEquivalentTo(5))
		Expect(f.TableIfNewer(5)).To(BeNil())
	})

	It("prefers the fleet's estimate and is frozen when either side is", func() {
		local := blackboard.Ratings{ByClass: map[blackboard.ClassVersion]blackboard.Quality{}, Frozen: true}
		table := &control.RatingTable{Rows: []control.RatingRow{{Class: "lookup", VersionRef: ref, Alpha: 7, Beta: 3}}}
		out := ratings.MergeFleetAndLocal(local, table)
		Expect(out.Frozen).To(BeTrue())
		Expect(out.ByClass[blackboard.ClassVersion{Class: "lookup", VersionRef: ref}]).To(Equal(blackboard.Quality{Alpha: 7, Beta: 3}))
	})
})
