// Package wire defines the messages between the system's own processes and
// their frames: a four-byte big-endian length, a type byte, and a CBOR map with
// integer keys. Unknown map keys are ignored, so that fields can be added;
// unknown types, oversized frames and malformed CBOR are errors.
package wire

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxFrame is the largest frame accepted, in bytes.
const MaxFrame = 8 << 20

const headerLen = 5 // bytes: length and type

// Errors of the codec.
var (
	// ErrFrameTooLarge marks a frame over MaxFrame.
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	// ErrMalformed marks bytes that are not a message.
	ErrMalformed = errors.New("malformed message")
)

// Message is a message between processes.
type Message interface {
	// Type returns the type byte of the message's frame.
	Type() Type
}

// Type is the type byte of a frame.
type Type uint8

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
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

// Read reads one frame from r. It returns io.EOF only at a frame's boundary.
// The second result is the frame's length in bytes.
func Read(r *bufio.Reader) (Message, int, error) {
	var header [headerLen]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size == 0 {
		return nil, 0, errors.Wrap(ErrMalformed, "frame without a type")
	}
	if size > MaxFrame {
		return nil, 0, errors.Wrapf(ErrFrameTooLarge, "frame has %d bytes", size)
	}
	body := make([]byte, size-1)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, err
	}
	m, err := Decode(Type(header[4]), body)
	return m, headerLen + len(body), err
}

// Decode decodes the body of a frame of type t.
func Decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, errors.Wrapf(ErrMalformed, "unknown message type %d", t)
	}
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decoding message of type %d", t), ErrMalformed)
	}
	return m, nil
}
