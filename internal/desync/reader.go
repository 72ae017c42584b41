package desync

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
)

// heldReadSize is how many bytes are read at a time while the bytes before are held back.
const heldReadSize = 4 << 10

// heldMemoryFactor is the memory that a byte held back takes while its buffer grows.
const heldMemoryFactor = 2

// Config configures a Reader.
type Config struct {
	// IDField is the name of the header field with the identifier of a call.
	IDField string
	// Known reports whether a call had an identifier.
	Known func(id []byte) bool
	// Following returns the bytes that were received after the end of the body. It is
	// called if the body ends with what may be the start of a head; wait is set if that
	// is so likely that it may wait briefly for them. Nil: nothing can follow the body.
	Following func(wait bool) []byte
	// Memory is the budget for what is held back beyond heldReadSize; nil: unlimited.
	Memory *budget.Lease
}

// Reader reads the body of a response. It holds back bytes that may be the head of a
// second response until they prove to be something else. Its error is marked ErrJoined
// if they are the head of the response to a known call.
type Reader struct {
	source  io.Reader
	config  Config
	cleared []byte // start of held, may be returned
	held    []byte
	err     error // of source, returned after the bytes before it
}

// NewReader returns a reader of the body source.
func NewReader(source io.Reader, config Config) *Reader {
	return &Reader{source: source, config: config}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		if len(r.cleared) > 0 {
			n := copy(p, r.cleared)
			r.cleared = r.cleared[n:]
			return n, nil
		}
		if len(r.held) == 0 && r.err != nil {
			return 0, r.err
		}
		if len(r.held) == 0 {
			if n, err := r.readUnheld(p); n > 0 || err != nil {
				return n, err
			}
			continue
		}
		r.readHeld()
	}
}

// readUnheld reads from the source into p while nothing is held back, and holds back
// the bytes from the first candidate on.
func (r *Reader) readUnheld(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.err = err
	start := indexCandidate(p[:n])
	if start == n {
		if n > 0 {
			return n, nil // the error follows with the next read
		}
		return 0, err
	}
	r.held = append([]byte(nil), p[start:n]...)
	r.clearHeld()
	return start, nil
}

// readHeld reads more bytes to decide on those held back.
func (r *Reader) readHeld() {
	if r.err != nil {
		r.endHeld()
		return
	}
	size := len(r.held)
	if size > heldReadSize && r.config.Memory != nil && !r.config.Memory.Grow(heldMemoryFactor*heldReadSize) {
		r.reject("no memory to hold back what may be the head of a second response")
		return
	}
	r.held = append(r.held, make([]byte, heldReadSize)...)
	n, err := r.source.Read(r.held[size:])
	r.held = r.held[:size+n]
	r.err = err
	r.clearHeld()
}

// clearHeld moves the bytes that are known to be no head of a second response from held
// to cleared.
func (r *Reader) clearHeld() {
	from := 0
	for from < len(r.held) {
		from += indexCandidate(r.held[from:])
		if from == len(r.held) {
			break
		}
		switch examine(r.held[from:], r.config.IDField, r.config.Known) {
		case calledHead:
			r.clear(from)
			r.reject("body of a response takes in the head of a second one")
			return
		case undecided:
			r.clear(from)
			return
		case notHead, otherHead:
			from++
		}
	}
	r.clear(len(r.held))
}

// endHeld decides on the bytes held back at the end of the body.
func (r *Reader) endHeld() {
	if errors.Is(r.err, io.EOF) && r.config.Following != nil {
		following := r.config.Following(bytes.Contains(r.held, protocolPrefix))
		if len(following) > 0 && r.continuesHead(following) {
			r.reject("body of a response ends inside the head of another response")
			return
		}
	}
	r.clear(len(r.held))
}

// continuesHead reports whether a head begins in the bytes held back and continues in
// those that follow the body.
func (r *Reader) continuesHead(following []byte) bool {
	all := append(append([]byte(nil), r.held...), following...)
	for from := 0; from < len(r.held); from++ {
		from += indexCandidate(r.held[from:])
		if from >= len(r.held) {
			return false
		}
		switch examine(all[from:], r.config.IDField, r.config.Known) {
		case calledHead, otherHead:
			return true
		case undecided:
			if len(all)-from >= statusCodeEnd {
				return true
			}
		case notHead:
		}
	}
	return false
}

// reject drops what is held back and ends the body with an error.
func (r *Reader) reject(text string) {
	r.held = nil
	r.err = joined("%s", text)
}

// clear marks the first n bytes of held as returnable.
func (r *Reader) clear(n int) {
	r.cleared = r.held[:n:n]
	r.held = r.held[n:]
}
