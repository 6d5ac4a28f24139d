package entry

import (
	"strings"
	"testing"
)

// Guards against long lines of many streams at once that together use up the memory of the instance.
func TestLongLinesAreCounted(t *testing.T) {
	buffer := byteBudget{limit: 512 << 10}
	first, second := bufferShare{buffer: &buffer}, bufferShare{buffer: &buffer}
	read := func(share *bufferShare) error {
		events := newEventReader(strings.NewReader("data: "+strings.Repeat("x", 100<<10)+"\n"), share)
		defer events.release()
		_, err := events.next()
		return err
	}
	if err := read(&first); err != nil {
		t.Fatalf("a line of 100 KiB: %v", err)
	}
	if err := read(&second); !Error.Has(err) {
		t.Fatalf("a second one while the first is held: %v, want an error of the router", err)
	}
	first.release()
	if err := read(&second); err != nil {
		t.Fatalf("after the first was released: %v", err)
	}
}
