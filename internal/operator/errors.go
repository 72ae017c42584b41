package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Errors of the operators' command.
var (
	// ErrConflict marks a change whose base version is no longer current; nothing was
	// changed.
	ErrConflict = errors.New("table was changed concurrently")
	// ErrPending marks a change that is committed, but not yet in force in every live
	// process.
	ErrPending = errors.New("version is not yet in force in every live process")
	// ErrPlatform marks a failed call to the platform; nothing was changed.
	ErrPlatform = errors.New("platform is unavailable")
	// ErrUncertain marks a change that may have taken effect or may still do so.
	ErrUncertain = errors.New("effect of the change is not known")
	// ErrUnlisted marks a VM that is not in the platform's list.
	ErrUnlisted = errors.New("VM is not in the platform's list")
)

// ConflictError reports that the table no longer has the version that a change was planned
// against. It matches ErrConflict.
type ConflictError struct {
	BaseVersion     uint64
	CurrentVersion  uint64 // 0: no table
	CurrentChangeID string // of the current version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change was planned against version %d, but the table has version %d (change %q); "+
		"nothing was changed, plan again", e.BaseVersion, e.CurrentVersion, e.CurrentChangeID)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Exit codes of the operators' command.
const (
	ExitOK          = 0
	ExitError       = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitInvalidFile = 4
	ExitPending     = 5
	ExitPlatform    = 6
)

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var faults *workspace.FaultsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		return ExitInvalidFile
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

// markPlatformError marks a failed read from the platform with ErrPlatform.
func markPlatformError(err error) error {
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		return errors.Mark(err, ErrPlatform)
	}
	return err
}
