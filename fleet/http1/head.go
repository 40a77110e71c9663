package http1

import (
	"errors"
	"fmt"
)

// ErrHead is wrapped by the error of a read that finds an invalid line in the head of an answer.
var ErrHead = errors.New("http1: invalid head of an answer")

// headPart is the part of a head to which the next byte belongs.
type headPart uint8

const (
	partVersion headPart = iota // of the status line, with the blank after it
	partStatus                  // the first digit of the status
	partRest                    // the rest of a line, which is not checked
	partLine                    // the beginning of a line after the status line
	partName                    // the name of a field
	partEnd                     // the line feed of an empty line
	partBody                    // not a part of the head
)

// headChecker checks the head of an answer, and those of informational answers before it, as they
// arrive. It rejects names of fields with blanks or control bytes, and lines that begin with a
// blank. net/http accepts some of them: it doesn't recognize the length of a body in a name with a
// blank, and takes a line that begins with a blank for a part of the line before.
type headChecker struct {
	part          headPart
	informational bool
}

// check checks the next bytes of an answer.
func (h *headChecker) check(p []byte) error {
	for _, b := range p {
		if h.part == partBody {
			return nil
		}
		if err := h.add(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *headChecker) add(b byte) error {
	switch h.part {
	case partVersion:
		if b == ' ' {
			h.part = partStatus
		}
	case partStatus:
		h.informational = b == '1'
		h.part = partRest
	case partRest:
		if b == '\n' {
			h.part = partLine
		}
	case partLine:
		return h.beginLine(b)
	case partName:
		if b == ':' {
			h.part = partRest
			return nil
		}
		return checkName(b)
	case partEnd:
		if b != '\n' {
			return checkName('\r')
		}
		h.endHead()
	}
	return nil
}

// beginLine handles the first byte of a line.
func (h *headChecker) beginLine(b byte) error {
	switch b {
	case '\r':
		h.part = partEnd
	case '\n':
		h.endHead()
	default:
		h.part = partName
		return checkName(b)
	}
	return nil
}

// endHead handles the empty line after a head.
func (h *headChecker) endHead() {
	h.part = partBody
	if h.informational {
		h.part = partVersion
	}
}

// checkName checks a byte of the name of a field.
func checkName(b byte) error {
	const del = 0x7f
	if b <= ' ' || b == del {
		return fmt.Errorf("%w: byte %#x in the name of a field", ErrHead, b)
	}
	return nil
}
