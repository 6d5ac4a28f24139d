package fleet_test

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"github.com/klauspost/compress/s2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"clementinetray/api/control"
	"clementinetray/server/fleet"
)

var _ = Describe("a packed delta", func() {
	whole := func(servers int) control.FleetDelta {
		table := fleet.NewTable()
		table.Reset(start, fleet.Epoch(1))
		for i := range servers {
			a := stated(fmt.Sprintf("i-%08x", i*2654435761), int64(1_700_000_000_000+i), 1)
			a.Address = fmt.Sprintf("10.%d.%d.%d:8188", i%3, i/200, i%200)
			Expect(table.Announce(start, a)).To(Succeed())
		}
		return table.Delta(start, "", 0)
	}
	size := func(d control.FleetDelta) int {
		var out bytes.Buffer
		Expect(gob.NewEncoder(&out).Encode(d)).To(Succeed())
		return out.Len()
	}

	// Guards against control instances that send for seconds after a kill of all, because each entry instance takes the whole
	// table: it must take a quarter of the bytes, and be the same afterwards.
	It("holds the whole table in a quarter of its size", func() {
		d := whole(1000)
		packed, err := fleet.Pack(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(size(packed)).To(BeNumerically("<", size(d)/4))
		Expect(fleet.Unpack(overWire(packed))).To(Equal(overWire(d)))
	})

	It("is not worth it for a few rows, which stay as they are", func() {
		d := whole(5)
		Expect(fleet.Pack(d)).To(Equal(d))
		Expect(fleet.Unpack(d)).To(Equal(d))
	})

	// Guards against a reply that was damaged and passes for an empty table, or takes all memory.
	DescribeTable("is refused", func(packed []byte) {
		_, err := fleet.Unpack(control.FleetDelta{Full: true, Packed: packed})
		Expect(fleet.ErrPacked.Has(err)).To(BeTrue())
	},
		Entry("when it can't be decompressed", []byte("not compressed")),
		Entry("when it holds no rows", s2.Encode(nil, []byte("no rows"))),
		Entry("when it would take all memory", []byte{0xff, 0xff, 0xff, 0xff, 0x0f}),
	)
})
