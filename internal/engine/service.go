package engine

import "context"

// ServiceClient calls a plain service. Its frames stand for no units.
type ServiceClient struct {
	*client
}

// NewServiceClient returns a client of the plain service at base (URL).
func NewServiceClient(base string, options Options) *ServiceClient {
	return &ServiceClient{client: newClient(base, options)}
}

// Do implements Client.
func (s *ServiceClient) Do(ctx context.Context, call Call) (Answer, error) {
	resp, g, err := s.begin(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := s.refused(resp, g); err != nil {
		return nil, err
	}
	return &body{resp: resp, guard: g, pull: pullBytes(resp), stalled: s.leaveIdle}, nil
}
