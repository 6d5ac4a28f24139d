package command

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLogLineBytes bounds one line of a log. Reading fails at a longer line.
const maxLogLineBytes = 1 << 20

// logLine is one line of a process's log that belongs to the request.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Fields are the other key-value pairs of the line, in its order.
	Fields []logField `json:"fields"`
}

type logField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// fieldValue returns the value of the first field with the key, "" if there is none.
func (l *logLine) fieldValue(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// logExplanation is the JSON output of explain --log.
type logExplanation struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	Cause   string    `json:"cause"`
}

// explainFromLogs prints the lines of the request from all files in the order of their times, and the cause of its outcome.
func (r *runner) explainFromLogs(id string, files []string) error {
	out := logExplanation{Request: id, Lines: []logLine{}}
	for _, file := range files {
		lines, err := r.readLog(file, id)
		if err != nil {
			return err
		}
		out.Lines = append(out.Lines, lines...)
	}
	if len(out.Lines) == 0 {
		return Error.New("no line of %s names request %s", strings.Join(files, ", "), id)
	}
	slices.SortStableFunc(out.Lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	out.Cause = describeOutcome(out.Lines)
	if r.printIfJSON(out) {
		return nil
	}
	for _, l := range out.Lines {
		fmt.Fprintf(r.Out, "%s  %s  %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(r.Out, " %s=%s", f.Key, quoteIfNeeded(f.Value))
		}
		fmt.Fprintln(r.Out)
	}
	fmt.Fprintf(r.Out, "\n%s\n", out.Cause)
	return nil
}

// readLog returns the lines of a file that belong to the request. The file - is standard input.
func (r *runner) readLog(file, id string) ([]logLine, error) {
	var in io.Reader = r.In
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer func() { _ = opened.Close() }()
		in = opened
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		// Log collectors prefix each line with their own fields.
		_, record, found := strings.Cut(scanner.Text(), "time=")
		if !found || !strings.Contains(record, id) {
			continue
		}
		if l, ok := parseLogLine("time="+record, id); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return lines, nil
}

// parseLogLine returns false if the line is damaged or belongs to another request.
func parseLogLine(text, id string) (logLine, bool) {
	l, matchesRequest := logLine{}, false
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case "time":
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.Time = at
			case "level":
			case "instance":
				l.Instance = value
			case "msg":
				l.Message = value
			case "request":
				matchesRequest = value == id
			default:
				l.Fields = append(l.Fields, logField{key, value})
			}
		}
	}
	return l, decoder.Err() == nil && matchesRequest
}

// describeOutcome returns one line that says how the request ended and why. The lines must be in order and not empty.
func describeOutcome(lines []logLine) string {
	last := lines[len(lines)-1]
	attemptFailure := ""
	for _, l := range lines {
		if l.Message == "attempt_failed" {
			attemptFailure = cmp.Or(l.fieldValue("error"), l.fieldValue("kind")) + " at " + l.fieldValue("backend_server")
		}
	}
	switch last.Message {
	case "request_refused":
		cause := fmt.Sprintf("refused: %s", last.fieldValue("reason"))
		if detail := last.fieldValue("detail"); detail != "" {
			cause += " (" + detail + ")"
		}
		if last.fieldValue("not_run") == "true" {
			return cause + "; it has not run"
		}
		return cause + "; it may have run, the last attempt failed with " + cmp.Or(attemptFailure, "no line")
	case "answered", "stream_ended":
		cause := fmt.Sprintf("answered with status %s after %s by %s", last.fieldValue("status"), last.fieldValue("took"), last.fieldValue("backend_server"))
		if first := last.fieldValue("first"); first != "" {
			cause += fmt.Sprintf("; first event after %s, longest pause %s", first, last.fieldValue("longest_pause"))
		}
		if attemptFailure != "" {
			cause += "; an attempt before failed with " + attemptFailure
		}
		return cause
	}
	return "no line says how it ended; the last is " + last.Message + ". The process may have died, or its line was dropped."
}
