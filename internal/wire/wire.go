// Package wire defines the messages between the system's own processes and
// their frames: a four-byte big-endian length, a type byte, and a CBOR map with
// integer keys. Unknown map keys are ignored, so that fields can be added without
// a new protocol version; unknown types, oversized frames and malformed CBOR are
// errors.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxFrame is the largest frame that is accepted, in bytes. It fits the largest
// workspace table, of workspace.MaxRows rows of about 140 bytes, and the largest
// request body with its header.
const MaxFrame = 8 << 20

const (
	headerBytes     = 5 // length and type
	readBufferBytes = 4 << 10
)

// Errors of the codec.
var (
	// ErrFrameTooLarge marks a frame larger than MaxFrame.
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	// ErrMalformed marks bytes that do not decode to a message.
	ErrMalformed = errors.New("malformed message")
)

// Message is a message between processes.
type Message interface {
	// Type returns the type byte of the message's frame.
	Type() Type
}

// Type is the type byte of a frame.
type Type uint8

// decodeMode limits what a message of any sender may contain: no indefinite lengths,
// no duplicate keys, and fewer elements than a frame has bytes. The largest arrays
// are the rows of a table and the VMs of a list.
var decodeMode = newDecodeMode()

func newDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Append appends the frame of m to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "encoding message of type %d", m.Type())
	}
	if len(body)+1 > MaxFrame {
		return nil, errors.Wrapf(ErrFrameTooLarge, "message of type %d has %d bytes", m.Type(), len(body))
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(body)+1))
	buf = append(buf, byte(m.Type()))
	return append(buf, body...), nil
}

// Reader reads messages from a byte stream. After a read that failed, for example
// because of a deadline, the next call continues at the same byte.
type Reader struct {
	source    io.Reader
	header    [headerBytes]byte
	bodyBytes int    // announced by the header
	body      []byte // nil until the header is complete; grows up to bodyBytes
	filled    int    // bytes of the header or body read so far
}

// NewReader returns a reader of the frames in source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferBytes)}
}

// Next returns the next message and the length of its frame in bytes. It returns
// io.EOF only between frames, and io.ErrUnexpectedEOF inside a frame.
func (r *Reader) Next() (Message, int, error) {
	if r.body == nil {
		if err := r.readHeader(); err != nil {
			return nil, 0, err
		}
	}
	if err := r.readBody(); err != nil {
		return nil, 0, eofToUnexpectedEOF(err)
	}
	body := r.body
	r.body, r.filled = nil, 0
	m, err := Decode(Type(r.header[headerBytes-1]), body)
	return m, headerBytes + len(body), err
}

// readHeader reads the header and allocates the buffer for the body.
func (r *Reader) readHeader() error {
	if err := r.fill(r.header[:]); err != nil {
		if r.filled > 0 {
			err = eofToUnexpectedEOF(err)
		}
		return err
	}
	frameBytes := binary.BigEndian.Uint32(r.header[:])
	if frameBytes == 0 {
		return errors.Wrap(ErrMalformed, "frame without a type")
	}
	if frameBytes > MaxFrame {
		return errors.Wrapf(ErrFrameTooLarge, "frame has %d bytes", frameBytes)
	}
	r.bodyBytes = int(frameBytes) - 1
	r.body, r.filled = make([]byte, min(r.bodyBytes, readBufferBytes)), 0
	return nil
}

// readBody reads the body. The buffer grows as bytes arrive, so that a peer that
// announces a large frame and sends little of it costs little memory.
func (r *Reader) readBody() error {
	for {
		if err := r.fill(r.body); err != nil {
			return err
		}
		if len(r.body) == r.bodyBytes {
			return nil
		}
		larger := make([]byte, min(r.bodyBytes, 2*len(r.body)))
		copy(larger, r.body)
		r.body = larger
	}
}

// fill reads into buf, from r.filled on, until it is full.
func (r *Reader) fill(buf []byte) error {
	for r.filled < len(buf) {
		n, err := r.source.Read(buf[r.filled:])
		r.filled += n
		if err != nil && r.filled < len(buf) {
			return err
		}
	}
	return nil
}

func eofToUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Decode decodes the body of a frame of type t.
func Decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, errors.Wrapf(ErrMalformed, "unknown message type %d", t)
	}
	if err := decodeMode.Unmarshal(body, m); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decoding message of type %d", t), ErrMalformed)
	}
	return m, nil
}
