// Package desync detects responses that consist of the bytes of two responses.
//
// Problem: a faulty target truncates a response and keeps the connection open. When
// another response follows on the same connection, for example a late second copy of an
// earlier one, its bytes complete the truncated one. The framing of the result is valid.
//
// Invariants:
//   - A head is refused if a field that identifies or frames a response is repeated, or
//     if one of its lines takes in a status line.
//   - A body is refused, before its last byte is returned, if it takes in the head of a
//     response to a call that this process made.
//   - A body that merely quotes a response is returned unchanged and without delay.
//
// Identifiers tell the last two apart: they are unique per call and only targets that
// received the call know them.
package desync

import "github.com/cockroachdb/errors"

// ErrJoined marks errors about responses that consist of the bytes of two responses.
var ErrJoined = errors.New("bytes of two responses are joined")

func joined(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrJoined)
}
