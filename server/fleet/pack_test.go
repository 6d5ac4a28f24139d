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
			a := announcementWithStart(fmt.Sprintf("i-%08x", i*2654435761), int64(1_700_000_000_000+i), 1)
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

	// Guards against control instances that are busy for seconds after all of them were killed, because they send the whole
	// table to each entry instance. Packed, it must need less than a quarter of the bytes, and unpack to the same table.
	It("holds the whole table in less than a quarter of its size", func() {
		d := whole(1000)
		packed, err := fleet.PackRows(d)
		Expect(err).NotTo(HaveOccurred())
		Expect(size(packed)).To(BeNumerically("<", size(d)/4))
		Expect(fleet.UnpackRows(sendOverWire(packed))).To(Equal(sendOverWire(d)))
	})

	It("is not made for a few rows, which stay unpacked", func() {
		d := whole(5)
		Expect(fleet.PackRows(d)).To(Equal(d))
		Expect(fleet.UnpackRows(d)).To(Equal(d))
	})

	// Guards against a corrupt reply that is taken for an empty table or exhausts memory.
	DescribeTable("is refused", func(packed []byte) {
		_, err := fleet.UnpackRows(control.FleetDelta{Full: true, Packed: packed})
		Expect(fleet.ErrUnpack.Has(err)).To(BeTrue())
	},
		Entry("when it can't be decompressed", []byte("not compressed")),
		Entry("when it holds no rows", s2.Encode(nil, []byte("no rows"))),
		Entry("when its unpacked size is over the limit", []byte{0xff, 0xff, 0xff, 0xff, 0x0f}),
	)
})
