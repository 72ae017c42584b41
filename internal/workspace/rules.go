package workspace

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Limits of the table.
const (
	// MaxRows is the maximum number of workspaces. The design size is 4,700.
	MaxRows = 1 << 14
	// MaxMarks is the maximum number of marked VMs. The design size is 12,600 VMs.
	MaxMarks = 1 << 14

	MaxRecentChanges = 64      // IDs of earlier changes in a table
	MaxKeys          = 64      // API keys per workspace
	MaxPools         = 256     // pools per workspace
	MaxWeight        = 1e6     // maximum weight
	MinWeight        = 1e-3    // minimum weight
	MaxRateLimit     = 1e6     // maximum rate limit, in requests/s
	MaxConcurrency   = 1 << 20 // maximum concurrency limit, in requests
	MaxQueueLimit    = 1 << 20 // maximum queue limit, in requests
)

const keyHashDigits = 64 // hexadecimal digits of a SHA-256 hash

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	poolPattern = regexp.MustCompile(`^(\*|[A-Za-z0-9][A-Za-z0-9._:/-]{0,127})$`)
)

// Fault is a validation failure of a cell, a row or the entire file.
type Fault struct {
	Row    int    // line of the file; the header is line 1; 0: the entire file
	Column string // "": the entire row
	Reason string
}

// String returns the fault with its location.
func (f Fault) String() string {
	switch {
	case f.Row == 0:
		return f.Reason
	case f.Column == "":
		return fmt.Sprintf("row %d: %s", f.Row, f.Reason)
	default:
		return fmt.Sprintf("row %d, column %q: %s", f.Row, f.Column, f.Reason)
	}
}

// FaultsError lists every fault of a table file. None of the file's rows is used.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return fmt.Sprintf("table file has %d faults: %s", len(e.Faults), strings.Join(lines, "; "))
}

// validate returns the faults of the row, without line numbers. seenHashes holds the key
// hashes of the previous rows; those of this row are added to it.
func (r *Row) validate(seenHashes map[string]bool) []Fault {
	var faults []Fault
	addFault := func(column, format string, args ...any) {
		faults = append(faults, Fault{Column: column, Reason: fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(r.Name) {
		addFault(columnName, "%q does not match %s", r.Name, namePattern)
	}
	if !(r.Weight >= MinWeight && r.Weight <= MaxWeight) {
		addFault(columnWeight, "%v is not between %v and %v", r.Weight, MinWeight, MaxWeight)
	}
	if !(r.RateLimit >= 0 && r.RateLimit <= MaxRateLimit) {
		addFault(columnRate, "%v is not between 0 (none) and %v requests/s", r.RateLimit, MaxRateLimit)
	}
	if r.Concurrency < 0 || r.Concurrency > MaxConcurrency {
		addFault(columnConcurrency, "%d is not between 0 (none) and %d", r.Concurrency, MaxConcurrency)
	}
	if r.QueueLimit <= 0 || r.QueueLimit > MaxQueueLimit {
		addFault(columnQueue, "%d is not between 1 and %d", r.QueueLimit, MaxQueueLimit)
	}
	r.validateKeyHashes(seenHashes, addFault)
	r.validatePools(addFault)
	return faults
}

func (r *Row) validateKeyHashes(seenHashes map[string]bool, addFault func(column, format string, args ...any)) {
	if len(r.KeyHashes) > MaxKeys {
		addFault(columnKeys, "%d keys exceed the maximum of %d", len(r.KeyHashes), MaxKeys)
	}
	for _, hash := range r.KeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != keyHashDigits || hash != strings.ToLower(hash) {
			addFault(columnKeys, "%q is not a SHA-256 hash of %d lower-case hex digits", hash, keyHashDigits)
			continue
		}
		if seenHashes[hash] {
			addFault(columnKeys, "key hash %q is duplicated in the table", hash)
		}
		seenHashes[hash] = true
	}
}

func (r *Row) validatePools(addFault func(column, format string, args ...any)) {
	if len(r.Pools) == 0 {
		addFault(columnPools, "no pool is listed; use * for all")
	}
	if len(r.Pools) > MaxPools {
		addFault(columnPools, "%d pools exceed the maximum of %d", len(r.Pools), MaxPools)
	}
	for i, pool := range r.Pools {
		switch {
		case !poolPattern.MatchString(pool):
			addFault(columnPools, "%q does not match %s", pool, poolPattern)
		case slices.Contains(r.Pools[:i], pool):
			addFault(columnPools, "pool %q is duplicated", pool)
		}
	}
}
