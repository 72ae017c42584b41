package desync

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the heads of one response, interim ones included. Sound ones have
// some hundred bytes; net/http reads 10 MB of each.
const MaxHeadBytes = 16 << 10

// Transport checks the heads that an http.Transport reads. The caller sees a refused
// response as a failed round trip, after which the connection is not reused.
type Transport struct {
	base   *http.Transport
	unique []string
}

// NewTransport returns a transport that bounds and checks the heads that base reads.
// unique names, in canonical form, the fields that a server sends once per response,
// beside those of HTTP. base must not be used otherwise.
func NewTransport(base *http.Transport, unique ...string) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base: base, unique: unique}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := t.check(resp); err != nil {
		_ = resp.Body.Close() // the body is not read to its end, which closes the connection
		return nil, errors.Wrapf(err, "response of %s", req.URL.Host)
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// check checks a parsed head. net/http refuses different lengths itself and merges equal
// ones, so that a repeated length is not seen here.
func (t *Transport) check(resp *http.Response) error {
	if err := CheckStatus(resp); err != nil {
		return err
	}
	if i := indexStatusLine([]byte(resp.Status)); i >= 0 {
		return joined("status %q takes in a status line", resp.Status)
	}
	for name, values := range resp.Header {
		if len(values) > 1 && occursOnce(name, t.unique) {
			return repeated(name)
		}
		for _, value := range values {
			if err := checkQuote(name, []byte(name+": "+value), t.unique); err != nil {
				return err
			}
		}
	}
	return nil
}
