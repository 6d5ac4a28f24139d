package emulator

import (
	"strings"
	"testing"
	"time"
)

// Guards against arrivals that are misread, or skipped without an error.
func TestReadArrivals(t *testing.T) {
	header := strings.Join(ArrivalColumns, ",") + "\n"
	got, err := ReadArrivals(strings.NewReader(header + "1500,draft,2,6000,300,2000,1000,4.5,a:500 b:5500\n20,tag,0,10,1,100,50,0,\n"))
	if err != nil || len(got) != 2 {
		t.Fatalf("read %v, %v", got, err)
	}
	r := got[0]
	if r.At != 1500*time.Millisecond || r.Kind != "draft" || r.Entry != 2 || r.PromptTokens != 6000 || r.OutputTokens != 300 ||
		r.Target != 2*time.Second || r.TargetGap != time.Second || r.Worth != 4.5 || len(r.Parts) != 2 || r.Parts[1].Tokens != 5500 {
		t.Errorf("read %+v", r)
	}
	for desc, text := range map[string]string{
		"the header is missing": "1,draft,2,6000,300,2000,1000,4.5,\n", "a column is missing": header + "1,draft,2,6000,300,2000,1000,4.5\n",
		"a count is not a number": header + "1,draft,2,many,300,2000,1000,4.5,\n", "a negative time": header + "-1,draft,2,1,300,2000,1000,4.5,\n",
		"a part without its size": header + "1,draft,2,1,300,2000,1000,4.5,a\n", "empty": "",
	} {
		if _, err := ReadArrivals(strings.NewReader(text)); err == nil {
			t.Errorf("%s: no error", desc)
		}
	}
}
