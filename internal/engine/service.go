package engine

import "context"

// ServiceClient calls a plain service. Its frames carry no service units, since
// plain services are charged by time.
type ServiceClient struct {
	*client
}

// NewServiceClient returns a client of the plain service at base (URL).
func NewServiceClient(base string, options Options) *ServiceClient {
	return &ServiceClient{client: newClient(base, options)}
}

// Do implements Client.
func (s *ServiceClient) Do(ctx context.Context, call Call) (Answer, error) {
	resp, w, err := s.begin(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := s.checkNotFenced(resp, w); err != nil {
		return nil, err
	}
	nextFrame := rawFrames(resp)
	if mediaType(resp.Header) == mediaTypeEventStream {
		nextFrame = eventFrames(resp, s.options.MaxEventBytes, s.memory)
	}
	return &httpAnswer{resp: resp, watchdog: w, nextFrame: nextFrame, onStall: s.closeIdleConnections}, nil
}
