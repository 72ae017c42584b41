package wire

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzReader reads arbitrary bytes as frames. Each frame must be an error or a message
// that can be encoded again.
func FuzzReader(f *testing.F) {
	for t := range Type(255) {
		if m := newMessage(t); m != nil {
			frame, err := Append(nil, m)
			require.NoError(f, err)
			f.Add(frame)
		}
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, byte(TypeOffer)})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for m, _, err := r.Next(); err == nil; m, _, err = r.Next() {
			_, err := Append(nil, m)
			require.NoError(t, err)
		}
	})
}
