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

// maxLogLine bounds one line of a log in bytes; longer ones are skipped and counted.
const maxLogLine = 1 << 20

// logLine is one line of a process's log that touches the request.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Fields are the other pairs of the line in their order.
	Fields []logField `json:"fields"`
}

type logField struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

func (l *logLine) value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// logExplanation is the output of explain from logs as JSON.
type logExplanation struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
	Cause   string    `json:"cause"`
}

// explainLogs shows what the given logs say of a request, in order over all processes.
func (r *run) explainLogs(id string, files []string) error {
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
	out.Cause = causeOf(out.Lines)
	if r.json(out) {
		return nil
	}
	for _, l := range out.Lines {
		fmt.Fprintf(r.Out, "%s  %s  %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
		for _, f := range l.Fields {
			fmt.Fprintf(r.Out, " %s=%s", f.Key, quoted(f.Value))
		}
		fmt.Fprintln(r.Out)
	}
	fmt.Fprintf(r.Out, "\n%s\n", out.Cause)
	return nil
}

// readLog returns the lines of a file that name the request; - stands for standard input.
func (r *run) readLog(file, id string) ([]logLine, error) {
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
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		// Collectors of logs put fields of their own before the line.
		_, pairs, found := strings.Cut(scanner.Text(), "time=")
		if !found || !strings.Contains(pairs, id) {
			continue
		}
		if l, ok := parseLogLine("time="+pairs, id); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return lines, nil
}

// parseLogLine returns false for a line that is damaged or of another request.
func parseLogLine(text, id string) (logLine, bool) {
	l, ofRequest := logLine{}, false
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
				ofRequest = value == id
			default:
				l.Fields = append(l.Fields, logField{key, value})
			}
		}
	}
	return l, decoder.Err() == nil && ofRequest
}

// causeOf says in one line how the request ended and why.
func causeOf(lines []logLine) string {
	last := lines[len(lines)-1]
	failed := ""
	for _, l := range lines {
		if l.Message == "attempt_failed" {
			failed = cmp.Or(l.value("error"), l.value("kind")) + " at " + l.value("backend_server")
		}
	}
	switch last.Message {
	case "request_refused":
		cause := fmt.Sprintf("refused: %s", last.value("reason"))
		if detail := last.value("detail"); detail != "" {
			cause += " (" + detail + ")"
		}
		if last.value("not_run") == "true" {
			return cause + "; it has not run"
		}
		return cause + "; it may have run, the last attempt failed with " + cmp.Or(failed, "no line")
	case "answered", "stream_ended":
		cause := fmt.Sprintf("answered with status %s after %s by %s", last.value("status"), last.value("took"), last.value("backend_server"))
		if first := last.value("first"); first != "" {
			cause += fmt.Sprintf("; first event after %s, longest pause %s", first, last.value("longest_pause"))
		}
		if failed != "" {
			cause += "; an attempt before failed with " + failed
		}
		return cause
	}
	return "no line says how it ended; the last is " + last.Message + ". The process may have died, or its line was dropped."
}
