package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("the event exceeds the size limit")

// stream is a streamed response in progress.
type stream struct {
	engine *Engine
	to     engine.Target
	id     string
	resp   *exchange.Response
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	// openDone is the Done channel of the context passed to Open.
	openDone <-chan struct{}

	next   int // sequence number of the next event
	first  int // sequence number of the first event of this exchange
	final  bool
	err    error // why the stream ended early
	closed bool  // Close was called
}

// frame is one server-sent event.
type frame struct {
	id     int // -1 if absent
	kind   string
	data   []byte
	tokens int
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(strings.ToLower(h.Get("Content-Type")), "text/event-stream")
}

func newStream(ctx context.Context, e *Engine, to engine.Target, req *engine.Request, resp *exchange.Response) *stream {
	return &stream{
		engine: e,
		to:     to,
		id:     req.ID,
		resp:   resp,
		br:     bufio.NewReaderSize(resp.Body, 2<<10),
		ctx:    ctx,
		next:   req.ResumeFrom,
		first:  req.ResumeFrom,
	}
}

// Incarnation implements engine.Stream.
func (s *stream) Incarnation() string { return s.resp.Header.Get(exchange.HeaderIncarnation) }

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Event, error) {
	if s.final {
		return engine.Event{}, io.EOF
	}
	if s.err != nil {
		return engine.Event{}, s.err
	}
	if ctx.Done() != s.openDone && ctx.Done() != nil {
		stop := context.AfterFunc(ctx, s.cancel)
		defer stop()
	}
	ev, err := s.read()
	if err != nil {
		s.err = s.classify(err)
		s.resp.Body.Discard()
		return engine.Event{}, s.err
	}
	return ev, nil
}

// read returns the next event, skipping those that were already delivered.
func (s *stream) read() (engine.Event, error) {
	for {
		f, err := readFrame(s.br)
		if errors.Is(err, io.EOF) && s.engine.faults.skipMarker {
			return s.finish(), nil
		}
		if err != nil {
			return engine.Event{}, err
		}
		if bytes.Equal(f.data, []byte("[DONE]")) {
			return s.finish(), nil
		}
		if f.kind == "error" {
			return engine.Event{}, s.engineError(f)
		}
		if f.id >= 0 && f.id < s.next && !s.engine.faults.skipSequence {
			continue // sent again after a resume
		}
		if f.id > s.next {
			return engine.Event{}, resultcode.New(resultcode.AnswerIncomplete, "%s skipped events %d to %d", s.to.Name, s.next, f.id-1)
		}
		ev := engine.Event{Seq: s.next, Data: f.data, Tokens: f.tokens}
		s.next++
		return ev, nil
	}
}

func (s *stream) finish() engine.Event {
	s.final = true
	s.resp.Body.Finish()
	return engine.Event{Seq: s.next, Final: true}
}

// engineError returns the error for an error event in the stream.
func (s *stream) engineError(f frame) error {
	if s.next == 0 {
		return resultcode.New(resultcode.EndpointLost, "%s failed before the first event: %s", s.to.Name, errorType(f.data))
	}
	return resultcode.New(resultcode.StreamBroken, "%s failed after %d events: %s", s.to.Name, s.next, errorType(f.data))
}

// classify returns the error with a result code for a stream that ended early.
// Before the first event nothing shows that the engine has started the request.
func (s *stream) classify(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = resultcode.New(resultcode.AnswerIncomplete, "%s ended the stream without the end-of-stream marker", s.to.Name)
	}
	var coded *resultcode.Error
	if !errors.As(err, &coded) {
		err = resultcode.Wrap(resultcode.AnswerIncomplete, err, "%s sent a malformed stream", s.to.Name)
	}
	return lostBeforeBody(err, s.next == 0)
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	cancelEngine := s.err == nil || s.ctx.Err() != nil
	if !s.final {
		s.resp.Body.Discard()
		if cancelEngine {
			s.engine.cancelAsync(s.to, s.id)
		}
	}
	if s.cancel != nil {
		s.cancel()
	}
	return nil
}

// readFrame reads one server-sent event that has data.
func readFrame(br *bufio.Reader) (frame, error) {
	f := frame{id: -1, tokens: 1}
	size := 0
	seen := false
	for {
		line, err := readLine(br)
		if err != nil {
			return frame{}, err
		}
		size += len(line)
		if size > maxEventBytes {
			return frame{}, errEventTooLarge
		}
		if len(line) == 0 {
			if seen {
				return f, nil
			}
			f = frame{id: -1, tokens: 1}
			continue
		}
		if err := f.field(line, &seen); err != nil {
			return frame{}, err
		}
	}
}

// field parses one line of an event.
func (f *frame) field(line []byte, seen *bool) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	var err error
	switch string(name) {
	case "data":
		if *seen {
			f.data = append(f.data, '\n')
		}
		f.data = append(f.data, value...)
		*seen = true
	case "event":
		f.kind = string(value)
	case "id":
		f.id, err = strconv.Atoi(string(value))
	case "tokens":
		f.tokens, err = strconv.Atoi(string(value))
	}
	return err
}

// readLine returns a line without its line ending. The result is valid until the
// next read.
func readLine(br *bufio.Reader) ([]byte, error) {
	line, err := br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return readLongLine(br, line)
	}
	if err != nil {
		return nil, err
	}
	return trimEnd(line), nil
}

func readLongLine(br *bufio.Reader, start []byte) ([]byte, error) {
	line := append([]byte(nil), start...)
	for {
		part, err := br.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return trimEnd(line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
}

func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
