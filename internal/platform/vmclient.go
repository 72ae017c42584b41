package platform

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/target"
)

// VMs is the response to a request for the VM list.
type VMs struct {
	VMs []target.VM `json:"vms"`
}

// VMClient is a VMList over HTTP.
type VMClient struct {
	serviceClient *serviceClient
}

// NewVMClient returns a client of the VM list at base (URL).
func NewVMClient(base string, options Options) *VMClient {
	return &VMClient{serviceClient: newServiceClient(base, options)}
}

// List implements VMList. Its error is marked ErrUnavailable.
func (v *VMClient) List(ctx context.Context) ([]target.VM, error) {
	call := call{method: http.MethodGet, path: PathVMs}
	status, body, err := v.serviceClient.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Mark(errors.Newf("%s: status %d", call, status), ErrUnavailable)
	}
	vms, err := decodeVMs(body)
	return vms, errors.Wrapf(err, "%s", call)
}

// decodeVMs decodes the VM list. One entry without an ID or with an unknown state makes
// the full list invalid.
func decodeVMs(body []byte) ([]target.VM, error) {
	var vms VMs
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decoding the VM list"), ErrUnavailable)
	}
	if vms.VMs == nil {
		return nil, errors.Mark(errors.New("answer holds no VM list"), ErrUnavailable)
	}
	if err := CheckVMs(vms.VMs); err != nil {
		return nil, errors.Mark(err, ErrUnavailable)
	}
	return vms.VMs, nil
}

// CheckVMs returns an error if a VM has no ID or an unknown state.
func CheckVMs(vms []target.VM) error {
	for i, vm := range vms {
		if err := checkVM(vm); err != nil {
			return errors.Wrapf(err, "entry %d of the VM list", i)
		}
	}
	return nil
}

func checkVM(vm target.VM) error {
	if vm.ID == "" {
		return errors.New("VM has no ID")
	}
	switch vm.State {
	case target.StateJoining, target.StateLive, target.StateLeaving:
		return nil
	default:
		return errors.Newf("VM %q has unknown state %q", vm.ID, vm.State)
	}
}
