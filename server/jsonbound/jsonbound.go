// Package jsonbound bounds the decoded form of a JSON text before it is decoded.
//
// It addresses bodies of legal size that take a multiple of it in memory once decoded: very many short fields, thousands of
// list items, deep nesting.
package jsonbound

import "github.com/zeebo/errs"

// Error is the class of the errors of Check.
var Error = errs.Class("JSON over the limit")

// Limits bound one JSON text.
type Limits struct {
	// Values is the number of values, those in lists and objects included; Depth the number of lists and objects inside of each
	// other. 0 means that it is not limited.
	Values, Depth int
}

// Check returns the number of values in text, and an error if it is over a limit. It accepts text that is not JSON: what it
// counts is at least what a decoder builds before it finds the fault.
func Check(text []byte, limits Limits) (values int, err error) {
	depth := 0
	inString, escaped := false, false
	values = 1
	for _, b := range text {
		if inString {
			switch {
			case escaped:
				escaped = false
			case b == '\\':
				escaped = true
			case b == '"':
				inString = false
			}
			continue
		}
		switch b {
		case '"':
			inString = true
		case ',':
			values++
		case '{', '[':
			depth++
			values++
			if limits.Depth > 0 && depth > limits.Depth {
				return values, Error.New("more than %d lists and objects inside of each other", limits.Depth)
			}
		case '}', ']':
			depth--
		}
		if limits.Values > 0 && values > limits.Values {
			return values, Error.New("more than %d values", limits.Values)
		}
	}
	return values, nil
}
