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
	// MaxRows is the largest number of workspaces; 4,700 are to be designed
	// for.
	MaxRows = 1 << 14
	// MaxMarks is the largest number of marked VMs; 12,600 are to be designed
	// for.
	MaxMarks = 1 << 14

	MaxRecent      = 64      // change IDs that a table remembers
	MaxKeys        = 64      // API keys of one workspace
	MaxPools       = 256     // pools of one workspace
	MaxWeight      = 1e6     // largest weight
	MinWeight      = 1e-3    // least weight
	MaxRate        = 1e6     // largest rate limit, in requests/s
	MaxConcurrency = 1 << 20 // largest concurrency limit
	MaxQueue       = 1 << 20 // largest queue limit
)

const keyHashLen = 64 // hex digits of a SHA-256

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	poolPattern = regexp.MustCompile(`^(\*|[A-Za-z0-9][A-Za-z0-9._:/-]{0,127})$`)
)

// Fault is what is wrong with one cell of the table.
type Fault struct {
	Row    int // line of the file, the header being line 1; 0: the whole file
	Column string
	Reason string
}

// String returns the fault with its place.
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

// FaultsError names every fault of a table file, which is refused whole.
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

// faults returns the faults of the row, without its line. hashes holds the key
// hashes of the rows before it and gets those of this one.
func (r *Row) faults(hashes map[string]bool) []Fault {
	var faults []Fault
	add := func(column, format string, args ...any) {
		faults = append(faults, Fault{Column: column, Reason: fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(r.Name) {
		add(columnName, "%q does not match %s", r.Name, namePattern)
	}
	if !(r.Weight >= MinWeight && r.Weight <= MaxWeight) {
		add(columnWeight, "%v is not between %v and %v", r.Weight, MinWeight, MaxWeight)
	}
	if !(r.RateLimit >= 0 && r.RateLimit <= MaxRate) {
		add(columnRate, "%v is not between 0 (none) and %v requests/s", r.RateLimit, MaxRate)
	}
	if r.Concurrency < 0 || r.Concurrency > MaxConcurrency {
		add(columnConcurrency, "%d is not between 0 (none) and %d", r.Concurrency, MaxConcurrency)
	}
	if r.QueueLimit <= 0 || r.QueueLimit > MaxQueue {
		add(columnQueue, "%d is not between 1 and %d", r.QueueLimit, MaxQueue)
	}
	r.keyFaults(hashes, add)
	r.poolFaults(add)
	return faults
}

func (r *Row) keyFaults(hashes map[string]bool, add func(column, format string, args ...any)) {
	if len(r.KeyHashes) > MaxKeys {
		add(columnKeys, "%d keys are more than %d", len(r.KeyHashes), MaxKeys)
	}
	for _, hash := range r.KeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != keyHashLen || hash != strings.ToLower(hash) {
			add(columnKeys, "%q is not a SHA-256 in %d lower-case hex digits", hash, keyHashLen)
			continue
		}
		if hashes[hash] {
			add(columnKeys, "key hash %q stands twice in the table", hash)
		}
		hashes[hash] = true
	}
}

func (r *Row) poolFaults(add func(column, format string, args ...any)) {
	if len(r.Pools) == 0 {
		add(columnPools, "no pool is named; use * for all")
	}
	if len(r.Pools) > MaxPools {
		add(columnPools, "%d pools are more than %d", len(r.Pools), MaxPools)
	}
	for i, pool := range r.Pools {
		switch {
		case !poolPattern.MatchString(pool):
			add(columnPools, "%q does not match %s", pool, poolPattern)
		case slices.Contains(r.Pools[:i], pool):
			add(columnPools, "pool %q stands twice", pool)
		}
	}
}
