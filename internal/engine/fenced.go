package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"path"

	"github.com/cockroachdb/errors"
)

// checkFenced returns an error marked ErrFenced if resp refuses the fencing
// number. Otherwise the body of resp is as before.
func checkFenced(resp *http.Response) error {
	if resp.StatusCode != http.StatusConflict || mediaType(resp.Header) != typeProblem {
		return nil
	}
	read, err := io.ReadAll(io.LimitReader(resp.Body, maxProblem))
	if err == nil && isFenced(read) {
		return errors.Wrapf(ErrFenced, "status %d", resp.StatusCode)
	}
	var rest io.Reader = resp.Body
	if err != nil {
		rest = failingReader{err}
	}
	resp.Body = readCloser{io.MultiReader(bytes.NewReader(read), rest), resp.Body}
	return nil
}

// isFenced reports whether a problem document refuses a fencing number.
func isFenced(problem []byte) bool {
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

// failingReader returns the error that ended an earlier read.
type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }
