package workspace

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MaxFile is the largest table file, in bytes.
const MaxFile = 4 << 20

// Columns of the table file.
const (
	columnName        = "name"
	columnKeys        = "key_hashes"
	columnWeight      = "weight"
	columnRate        = "rate_limit"
	columnConcurrency = "concurrency"
	columnQueue       = "queue_limit"
	columnPools       = "pools"
)

// Columns are the columns of the table file. A file may hold them in any order.
var Columns = []string{
	columnName, columnKeys, columnWeight, columnRate, columnConcurrency, columnQueue, columnPools,
}

// cellSpace separates the key hashes and the pools within a cell, besides
// spaces.
const cellSpace = ";"

// byteOrderMark precedes the files of some spreadsheets.
const byteOrderMark = "\ufeff"

// ReadFile reads a table file: CSV with a header and one row per workspace.
// The rows have no IDs yet. A bad file is refused whole with a *FaultsError
// that names every fault.
func ReadFile(r io.Reader) ([]Row, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFile+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the table file")
	}
	p := &fileParser{names: make(map[string]int), hashes: make(map[string]bool)}
	p.parse(string(data))
	if len(p.faults) > 0 {
		return nil, &FaultsError{Faults: p.faults}
	}
	return p.rows, nil
}

// fileParser collects the rows and the faults of a file.
type fileParser struct {
	columns []string
	rows    []Row
	faults  []Fault
	names   map[string]int // line of each workspace
	hashes  map[string]bool
}

func (p *fileParser) fault(row int, column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: row, Column: column, Reason: fmt.Sprintf(format, args...)})
}

func (p *fileParser) parse(data string) {
	switch {
	case len(data) > MaxFile:
		p.fault(0, "", "file exceeds %d bytes", MaxFile)
		return
	case !utf8.ValidString(data):
		p.fault(0, "", "file is not UTF-8")
		return
	}
	r := csv.NewReader(strings.NewReader(strings.TrimPrefix(data, byteOrderMark)))
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	for {
		cells, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.csvFault(err)
			return
		}
		line, _ := r.FieldPos(0)
		if p.columns == nil {
			p.header(line, cells)
			continue
		}
		p.row(line, cells)
	}
	if p.columns == nil {
		p.fault(0, "", "file has no header; columns are %s", strings.Join(Columns, ","))
	}
	if len(p.rows) > MaxRows {
		p.fault(0, "", "%d rows are more than %d", len(p.rows), MaxRows)
	}
}

func (p *fileParser) csvFault(err error) {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		p.fault(parse.Line, "", "not CSV: %s", parse.Err)
		return
	}
	p.fault(0, "", "not CSV: %s", err)
}

func (p *fileParser) header(line int, cells []string) {
	p.columns = make([]string, len(cells))
	for i, cell := range cells {
		name := strings.TrimSpace(cell)
		switch {
		case !slices.Contains(Columns, name):
			p.fault(line, name, "unknown column; columns are %s", strings.Join(Columns, ","))
		case slices.Contains(p.columns, name):
			p.fault(line, name, "column stands twice")
		}
		p.columns[i] = name
	}
	for _, name := range Columns {
		if !slices.Contains(p.columns, name) {
			p.fault(line, name, "column is missing")
		}
	}
}

func (p *fileParser) row(line int, cells []string) {
	if len(cells) != len(p.columns) {
		p.fault(line, "", "%d cells, but the header has %d columns", len(cells), len(p.columns))
		return
	}
	var row Row
	bad := make(map[string]bool)
	for i, cell := range cells {
		if reason := row.set(p.columns[i], strings.TrimSpace(cell)); reason != "" {
			p.fault(line, p.columns[i], "%s", reason)
			bad[p.columns[i]] = true
		}
	}
	for _, f := range row.faults(p.hashes) {
		if !bad[f.Column] && slices.Contains(p.columns, f.Column) {
			p.fault(line, f.Column, "%s", f.Reason)
		}
	}
	if before, ok := p.names[row.Name]; ok {
		p.fault(line, columnName, "workspace %q stands already in row %d", row.Name, before)
	}
	p.names[row.Name] = line
	p.rows = append(p.rows, row)
}

// set sets the field of column from its cell and returns what is wrong with
// the cell, or "".
func (r *Row) set(column, cell string) string {
	var err error
	switch column {
	case columnName:
		r.Name = cell
	case columnKeys:
		r.KeyHashes = splitCell(cell)
	case columnPools:
		r.Pools = splitCell(cell)
	case columnWeight:
		r.Weight, err = strconv.ParseFloat(cell, 64)
	case columnRate:
		r.RateLimit, err = strconv.ParseFloat(cell, 64)
	case columnConcurrency:
		r.Concurrency, err = strconv.Atoi(cell)
	case columnQueue:
		r.QueueLimit, err = strconv.Atoi(cell)
	}
	if err != nil {
		return fmt.Sprintf("%q is not a number", cell)
	}
	return ""
}

func splitCell(cell string) []string {
	return strings.Fields(strings.ReplaceAll(cell, cellSpace, " "))
}

// WriteFile writes the rows of t as a table file, by name.
func (t *Table) WriteFile(w io.Writer) error {
	out := csv.NewWriter(w)
	records := [][]string{Columns}
	for _, row := range t.sorted() {
		records = append(records, row.cells())
	}
	return errors.Wrap(out.WriteAll(records), "writing the table file")
}

// sorted returns the rows by name.
func (t *Table) sorted() []Row {
	rows := slices.Clone(t.Rows)
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// cells returns the row in the order of Columns.
func (r *Row) cells() []string {
	return []string{
		r.Name,
		strings.Join(r.KeyHashes, cellSpace),
		strconv.FormatFloat(r.Weight, 'g', -1, 64),
		strconv.FormatFloat(r.RateLimit, 'g', -1, 64),
		strconv.Itoa(r.Concurrency),
		strconv.Itoa(r.QueueLimit),
		strings.Join(r.Pools, cellSpace),
	}
}
