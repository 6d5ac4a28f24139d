package emulator

import (
	"encoding/csv"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/server/balance"
)

// Error is the class of all errors of this package.
var Error = errs.Class("emulator")

// ArrivalColumns is the header of an arrival file. Times are in milliseconds. The column parts lists prompt parts as
// ID:TOKENS, separated by spaces.
var ArrivalColumns = []string{"at", "kind", "entry", "prompt_tokens", "output_tokens", "target", "gap", "worth", "parts"}

// ReadArrivals reads requests from CSV with the header ArrivalColumns. Errors in a record include its line number.
func ReadArrivals(in io.Reader) ([]Request, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = len(ArrivalColumns)
	header, err := reader.Read()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if got, want := strings.Join(header, ","), strings.Join(ArrivalColumns, ","); got != want {
		return nil, Error.New("the header is %q, want %q", got, want)
	}
	var out []Request
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, Error.Wrap(err)
		}
		r, err := parseArrival(record)
		if err != nil {
			line, _ := reader.FieldPos(0)
			return nil, Error.New("line %d: %v", line, err)
		}
		out = append(out, r)
	}
}

func parseArrival(record []string) (Request, error) {
	var numbers [7]float64
	for i, text := range append([]string{record[0]}, record[2:8]...) {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n < 0 {
			return Request{}, Error.New("%q is not a number of 0 or more", text)
		}
		numbers[i] = n
	}
	millis := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	r := Request{
		At: millis(numbers[0]), Kind: record[1], Entry: int(numbers[1]), PromptTokens: int(numbers[2]), OutputTokens: int(numbers[3]),
		Target: millis(numbers[4]), TargetGap: millis(numbers[5]), Worth: numbers[6],
	}
	for _, item := range strings.Fields(record[8]) {
		id, count, _ := strings.Cut(item, ":")
		tokens, err := strconv.Atoi(count)
		if err != nil {
			return Request{}, Error.New("part %q is not ID:TOKENS", item)
		}
		r.Parts = append(r.Parts, balance.PromptPart{ID: id, Tokens: tokens})
	}
	return r, nil
}
