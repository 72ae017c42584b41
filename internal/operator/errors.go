package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Errors of the operators' command.
var (
	// ErrConflict marks a change that lost a race: nothing was changed.
	ErrConflict = errors.New("table was changed by someone else")
	// ErrPending marks a change that is committed and not yet in force in
	// every live process.
	ErrPending = errors.New("version is not in force everywhere yet")
	// ErrPlatform marks a platform that could not be used: nothing was
	// changed.
	ErrPlatform = errors.New("platform is unavailable")
	// ErrUncertain marks a change of which it is not known whether it took
	// or will take effect.
	ErrUncertain = errors.New("effect of the change is not known")
	// ErrUnlisted marks a VM that the platform's list does not name.
	ErrUnlisted = errors.New("VM is not in the platform's list")
)

// ConflictError names the version that a change was planned against and the
// one that stands instead. It is marked ErrConflict by its Is method.
type ConflictError struct {
	Against  uint64
	Current  uint64 // 0: no table
	ChangeID string // of the current version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change was planned against version %d, but the table has version %d (change %q); "+
		"nothing was changed, plan again", e.Against, e.Current, e.ChangeID)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Exit codes of the operators' command.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitBadFile  = 4
	ExitPending  = 5
	ExitPlatform = 6
)

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var faults *workspace.FaultsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		return ExitBadFile
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrPending):
		return ExitPending
	case errors.Is(err, ErrPlatform), errors.Is(err, ErrUncertain):
		return ExitPlatform
	default:
		return ExitError
	}
}

// translate marks an error of the platform's reads as one of this layer.
func translate(err error) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		return errors.Mark(err, ErrPlatform)
	}
	return err
}
