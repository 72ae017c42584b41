package fairness

// RowsOf returns the number of workspaces that l remembers.
func RowsOf(l *Ledger) int { return len(l.rows) }

// SourcesOf returns the number of names whose sums l remembers.
func SourcesOf(l *Ledger) int { return len(l.sources) }

// IncarnationsOf returns the number of incarnations that l remembers of name.
func IncarnationsOf(l *Ledger, name string) int { return l.sources.Incarnations(name) }
