package route

// Edition identifies the content of a table. A version may be given out again with other
// content after the store was restored from a copy, so the version alone does not.
type Edition struct {
	Version int64
	Era     int64  // the newest era of the store in which it was read
	Digest  uint64 // hash of the content
}

// Same reports whether both have the same content.
func (e Edition) Same(other Edition) bool {
	return e.Version == other.Version && e.Digest == other.Digest
}

// Supersedes reports whether e is newer than other. A lower version never is: after a restore
// the store lists an old one until the operator has written the newest one again.
func (e Edition) Supersedes(other Edition) bool {
	return e.Version > other.Version || e.Version == other.Version && e.Digest != other.Digest && e.Era > other.Era
}

// Confirms reports whether reading e shows that nothing newer than other, which is in use,
// was written until then. A lower version of a later era does not: newer versions than other
// may be lost and be written again.
func (e Edition) Confirms(other Edition) bool {
	return e.Version >= other.Version || e.Era == other.Era
}
