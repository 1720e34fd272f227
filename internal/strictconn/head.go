package strictconn

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxQuotedBytes limits how much of a broken line an error tells.
const maxQuotedBytes = 64

// HeadError is the error of a response with a header line that is none.
type HeadError struct {
	// Line is the beginning of the line.
	Line string
}

// Error describes the line.
func (e *HeadError) Error() string {
	return fmt.Sprintf("strictconn: response has the header line %q", e.Line)
}

// headState is the part of a response that a headChecker expects next.
type headState int

const (
	// pastHead means that the bytes are not checked: they belong to a body.
	pastHead headState = iota
	atStatusLine
	atHeaderLine
)

// maxNameBytes is more than the longest name of a field that net/http accepts in its limit of heads.
const maxNameBytes = 64 << 10

// headChecker checks the names of the fields in the heads of a response, interim responses included,
// whose bytes come in parts.
type headChecker struct {
	state headState
	// line is the beginning of the current line, up to the colon of a header line.
	line []byte
	// isNamed means that the name of the current header line is complete and valid.
	isNamed bool
	// isInterim means that the head is that of an interim response, after which another head follows.
	isInterim bool
	// lines counts the header lines of the head.
	lines int
}

// begin starts the check of a response.
func (h *headChecker) begin() {
	*h = headChecker{state: atStatusLine, line: h.line[:0]}
}

// add checks the next bytes. At a header line that is none it returns a HeadError and the number of bytes
// before the end of the line's part in p that is known to be wrong.
func (h *headChecker) add(p []byte) (int, error) {
	checked := 0
	for checked < len(p) && h.state != pastHead {
		part, isLineEnd := cutLine(p[checked:])
		if err := h.addPart(part, isLineEnd); err != nil {
			return checked, err
		}
		checked += len(part)
	}
	return len(p), nil
}

// cutLine returns the bytes up to the end of the line, and whether they reach it.
func cutLine(p []byte) ([]byte, bool) {
	if end := bytes.IndexByte(p, '\n'); end >= 0 {
		return p[:end+1], true
	}
	return p, false
}

// addPart checks a part of a line.
func (h *headChecker) addPart(part []byte, isLineEnd bool) error {
	if !h.isNamed {
		h.line = append(h.line, part...)
	}
	switch {
	case h.state == atStatusLine && isLineEnd:
		h.endStatusLine()
	case h.state == atHeaderLine && !h.isNamed:
		return h.checkLine(isLineEnd)
	case h.state == atHeaderLine && isLineEnd:
		h.nextLine()
	}
	return nil
}

// endStatusLine ends the status line. Whether it is valid is left to the reader of the response.
func (h *headChecker) endStatusLine() {
	_, rest, _ := bytes.Cut(h.line, []byte(" "))
	rest = bytes.TrimLeft(rest, " ")
	h.isInterim = bytes.HasPrefix(rest, []byte("1")) && !bytes.HasPrefix(rest, []byte("101"))
	h.state = atHeaderLine
	h.lines = 0
	h.nextLine()
}

func (h *headChecker) nextLine() {
	h.line = h.line[:0]
	h.isNamed = false
}

// checkLine checks the header line so far, whose name was not complete before.
func (h *headChecker) checkLine(isLineEnd bool) error {
	if isLineEnd && len(bytes.TrimRight(h.line, "\r\n")) == 0 {
		h.endHead()
		return nil
	}
	isContinuation := h.lines > 0 && (h.line[0] == ' ' || h.line[0] == '\t')
	name, _, hasColon := strings.Cut(string(h.line), ":")
	switch {
	case isContinuation:
	case hasColon && httpguts.ValidHeaderFieldName(name):
	case !hasColon && !isLineEnd && len(h.line) < maxNameBytes:
		return nil
	default:
		return &HeadError{Line: string(h.line[:min(len(h.line), maxQuotedBytes)])}
	}
	h.lines++
	h.isNamed = true
	if isLineEnd {
		h.nextLine()
	}
	return nil
}

// endHead ends the head of a response.
func (h *headChecker) endHead() {
	h.nextLine()
	h.state = pastHead
	if h.isInterim {
		h.state = atStatusLine
	}
}
