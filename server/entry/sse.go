package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"sync"
)

// maxEventLineBytes is the maximum length of a line in a backend server's event stream, in bytes.
const maxEventLineBytes = 1 << 20

// readerPool pools the buffers of event streams.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// eventReader reads the data fields of server-sent events. buffered accounts for long lines.
type eventReader struct {
	in       *bufio.Reader
	buffered *bufferShare
}

func newEventReader(r io.Reader, buffered *bufferShare) eventReader {
	in := readerPool.Get().(*bufio.Reader)
	in.Reset(r)
	return eventReader{in: in, buffered: buffered}
}

func (e eventReader) release() {
	e.in.Reset(nil)
	readerPool.Put(e.in)
}

// next returns the data of the next event and skips other fields and comments, up to maxEventLineBytes of them. The slice is
// valid until the next call.
func (e eventReader) next() ([]byte, error) {
	for skipped := 0; ; {
		line, err := e.readLine()
		if err != nil {
			return nil, err
		}
		if skipped += len(line); skipped > maxEventLineBytes {
			return nil, Error.New("no event in %d bytes of the event stream", skipped)
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the bytes up to the next newline, valid until the next call.
func (e eventReader) readLine() ([]byte, error) {
	line, err := e.in.ReadSlice('\n')
	if err == nil || err != bufio.ErrBufferFull {
		return line, err
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull {
		if len(long) > maxEventLineBytes {
			return nil, Error.New("a line of the event stream is over %d bytes", maxEventLineBytes)
		}
		line, err = e.in.ReadSlice('\n')
		if err := e.buffered.grow(3 * (len(long) + len(line))); err != nil {
			return nil, err
		}
		long = append(long, line...)
	}
	return long, err
}

// chunk holds the fields of a stream event that the router reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content      string          `json:"content"`
			ToolCalls    json.RawMessage `json:"tool_calls"`
			FunctionCall json.RawMessage `json:"function_call"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// text returns the text of the first choice and whether the choice is finished. continuable is false when the event carries
// more than the text of a single choice, such as tool calls, which a continuation from the text would lose.
func (c *chunk) text() (text string, finished, continuable bool) {
	if len(c.Choices) == 0 {
		return "", false, true
	}
	first := &c.Choices[0]
	continuable = len(c.Choices) == 1 && len(first.Delta.ToolCalls) == 0 && len(first.Delta.FunctionCall) == 0
	return first.Delta.Content, first.FinishReason != nil, continuable
}

// withUsage returns the event's data with its token counts replaced by u. Data without usage is returned unchanged.
func withUsage(data []byte, u usage) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	var counts map[string]json.RawMessage
	if json.Unmarshal(fields["usage"], &counts) != nil {
		return data
	}
	counts["prompt_tokens"] = strconv.AppendInt(nil, int64(u.PromptTokens), 10)
	counts["completion_tokens"] = strconv.AppendInt(nil, int64(u.CompletionTokens), 10)
	counts["total_tokens"] = strconv.AppendInt(nil, int64(u.PromptTokens+u.CompletionTokens), 10)
	encoded, err := json.Marshal(counts)
	if err != nil {
		return data
	}
	fields["usage"] = encoded
	out, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return out
}

// appendFrame appends the encoding of one server-sent event. Its id is the request id and the event's number.
func appendFrame(frame []byte, request string, number int, kind string, data []byte) []byte {
	frame = append(frame, "id: "...)
	frame = append(frame, request...)
	frame = append(frame, '.')
	frame = strconv.AppendInt(frame, int64(number), 10)
	if kind != "" {
		frame = append(frame, "\nevent: "...)
		frame = append(frame, kind...)
	}
	frame = append(frame, "\ndata: "...)
	frame = append(frame, data...)
	return append(frame, "\n\n"...)
}
