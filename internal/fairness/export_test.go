package fairness

// WorkspaceCount returns the number of workspaces in l.
func WorkspaceCount(l *Ledger) int { return len(l.accounts) }

// SourceCount returns the number of source names in l.
func SourceCount(l *Ledger) int { return len(l.sources) }

// IncarnationCount returns the number of incarnations of name in l.
func IncarnationCount(l *Ledger, name string) int { return l.sources.Incarnations(name) }
