package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"path"

	"github.com/cockroachdb/errors"
)

// fencedError returns an error marked ErrFenced if resp rejects the fencing
// number. Otherwise the body of resp can still be read in full.
func fencedError(resp *http.Response) error {
	if resp.StatusCode != http.StatusConflict || mediaType(resp.Header) != mediaTypeProblem {
		return nil
	}
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if err == nil && isFencedProblem(prefix) {
		return errors.Wrapf(ErrFenced, "status %d", resp.StatusCode)
	}
	var rest io.Reader = resp.Body
	if err != nil {
		rest = errorReader{err}
	}
	resp.Body = readCloser{io.MultiReader(bytes.NewReader(prefix), rest), resp.Body}
	return nil
}

// isFencedProblem reports whether a problem document (RFC 9457) rejects a fencing
// number.
func isFencedProblem(problem []byte) bool {
	var document struct {
		Type string `json:"type"`
	}
	if err := json.Unmarshal(problem, &document); err != nil {
		return false
	}
	return path.Base(document.Type) == ProblemFenced
}

type readCloser struct {
	io.Reader
	io.Closer
}

// errorReader is a reader that always fails with err.
type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
