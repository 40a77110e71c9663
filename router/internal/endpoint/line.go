package endpoint

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"ragwortshunt.example/platform/exchange"
)

const (
	maxLineBytes    = 1 << 20 // in a token stream
	lineBufferBytes = 4 << 10 // part of a line that needs no reservation
	// lineCopies is what is held at most of each byte of a long line: its buffer, which doubles when it
	// is full, and the decoded tokens.
	lineCopies = 3
)

// errLineTooLong is returned for a line that exceeds maxLineBytes.
var errLineTooLong = fmt.Errorf("%w: line is too long", ErrEndpoint)

// lineReader reads the lines of a token stream and reserves memory for long ones. It is not safe for
// concurrent use.
type lineReader struct {
	r        *bufio.Reader
	memory   *exchange.Memory
	reserved int
}

func newLineReader(r io.Reader, m *exchange.Memory) *lineReader {
	return &lineReader{r: bufio.NewReaderSize(r, lineBufferBytes), memory: m}
}

// next returns the next line, which is valid until the next call. The last line needs no line feed.
// The error is that of the reader, errLineTooLong or exchange.ErrMemory.
func (l *lineReader) next() ([]byte, error) {
	l.release()
	part, err := l.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return lastLine(part, err)
	}
	line := append([]byte(nil), part...)
	for errors.Is(err, bufio.ErrBufferFull) {
		part, err = l.r.ReadSlice('\n')
		if growErr := l.reserve(len(part)); growErr != nil {
			return nil, growErr
		}
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errLineTooLong
		}
	}
	return lastLine(line, err)
}

// lastLine returns a line that may end with the stream.
func lastLine(line []byte, err error) ([]byte, error) {
	if len(line) > 0 {
		return line, nil
	}
	return nil, err
}

// reserve reserves memory for n more bytes of the current line.
func (l *lineReader) reserve(n int) error {
	if err := l.memory.Grow(lineCopies * n); err != nil {
		return err
	}
	l.reserved += lineCopies * n
	return nil
}

// release gives back the memory of the line that was returned last.
func (l *lineReader) release() {
	l.memory.Shrink(l.reserved)
	l.reserved = 0
}
