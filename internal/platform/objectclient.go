package platform

import (
	"context"
	"net/http"
	"net/url"
)

// ObjectClient is an ObjectStore over HTTP.
type ObjectClient struct {
	serviceClient *serviceClient
}

// NewObjectClient returns a client of the object store at base (URL).
func NewObjectClient(base string, options Options) *ObjectClient {
	return &ObjectClient{serviceClient: newServiceClient(base, options)}
}

// Put implements ObjectStore.
func (o *ObjectClient) Put(ctx context.Context, key string, data []byte) error {
	if data == nil {
		data = []byte{}
	}
	call := call{method: http.MethodPut, path: PathObject, query: url.Values{"key": {key}}, body: data}
	status, _, err := o.serviceClient.do(ctx, call)
	if err != nil {
		return err
	}
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		return statusError(call, status)
	}
	return nil
}

// Get implements ObjectStore.
func (o *ObjectClient) Get(ctx context.Context, key string) ([]byte, error) {
	call := call{method: http.MethodGet, path: PathObject, query: url.Values{"key": {key}}}
	status, body, err := o.serviceClient.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, statusError(call, status)
	}
	return body, nil
}
