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

// MaxFileBytes is the maximum size of a table file.
const MaxFileBytes = 4 << 20

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

// Columns lists the columns of the table file. A file may have them in any order.
var Columns = []string{
	columnName, columnKeys, columnWeight, columnRate, columnConcurrency, columnQueue, columnPools,
}

// listSeparator separates the key hashes and the pools within a cell. White space does so
// too.
const listSeparator = ";"

// byteOrderMark starts the files that some spreadsheet programs write.
const byteOrderMark = "\ufeff"

// ReadFile reads a table file: CSV with a header and one row per workspace. The rows have
// no IDs yet. For an invalid file it returns no rows and a *FaultsError that lists every
// fault.
func ReadFile(r io.Reader) ([]Row, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading the table file")
	}
	p := &fileParser{lineByName: make(map[string]int), seenHashes: make(map[string]bool)}
	p.parse(string(data))
	if len(p.faults) > 0 {
		return nil, &FaultsError{Faults: p.faults}
	}
	return p.rows, nil
}

// fileParser collects the rows and the faults of a file.
type fileParser struct {
	columns    []string
	rows       []Row
	faults     []Fault
	lineByName map[string]int // line of each workspace
	// seenHashes holds the key hashes of all rows parsed so far.
	seenHashes map[string]bool
}

func (p *fileParser) addFault(row int, column, format string, args ...any) {
	p.faults = append(p.faults, Fault{Row: row, Column: column, Reason: fmt.Sprintf(format, args...)})
}

func (p *fileParser) parse(data string) {
	switch {
	case len(data) > MaxFileBytes:
		p.addFault(0, "", "file exceeds %d bytes", MaxFileBytes)
		return
	case !utf8.ValidString(data):
		p.addFault(0, "", "file is not UTF-8")
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
			p.addCSVFault(err)
			return
		}
		line, _ := r.FieldPos(0)
		if p.columns == nil {
			p.parseHeader(line, cells)
			continue
		}
		p.parseRow(line, cells)
	}
	if p.columns == nil {
		p.addFault(0, "", "file has no header; columns are %s", strings.Join(Columns, ","))
	}
	if len(p.rows) > MaxRows {
		p.addFault(0, "", "%d rows exceed the maximum of %d", len(p.rows), MaxRows)
	}
}

func (p *fileParser) addCSVFault(err error) {
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		p.addFault(parseError.Line, "", "not CSV: %s", parseError.Err)
		return
	}
	p.addFault(0, "", "not CSV: %s", err)
}

func (p *fileParser) parseHeader(line int, cells []string) {
	p.columns = make([]string, len(cells))
	for i, cell := range cells {
		name := strings.TrimSpace(cell)
		switch {
		case !slices.Contains(Columns, name):
			p.addFault(line, name, "unknown column; columns are %s", strings.Join(Columns, ","))
		case slices.Contains(p.columns, name):
			p.addFault(line, name, "column is duplicated")
		}
		p.columns[i] = name
	}
	for _, name := range Columns {
		if !slices.Contains(p.columns, name) {
			p.addFault(line, name, "column is missing")
		}
	}
}

func (p *fileParser) parseRow(line int, cells []string) {
	if len(cells) != len(p.columns) {
		p.addFault(line, "", "%d cells, but the header has %d columns", len(cells), len(p.columns))
		return
	}
	var row Row
	unparsed := make(map[string]bool)
	for i, cell := range cells {
		if reason := row.setCell(p.columns[i], strings.TrimSpace(cell)); reason != "" {
			p.addFault(line, p.columns[i], "%s", reason)
			unparsed[p.columns[i]] = true
		}
	}
	for _, f := range row.validate(p.seenHashes) {
		if !unparsed[f.Column] && slices.Contains(p.columns, f.Column) {
			p.addFault(line, f.Column, "%s", f.Reason)
		}
	}
	if firstLine, duplicate := p.lineByName[row.Name]; duplicate {
		p.addFault(line, columnName, "workspace %q is already in row %d", row.Name, firstLine)
	}
	p.lineByName[row.Name] = line
	p.rows = append(p.rows, row)
}

// setCell parses a cell into the field of its column. It returns the reason of a fault, or
// "" if there is none.
func (r *Row) setCell(column, cell string) string {
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
	return strings.Fields(strings.ReplaceAll(cell, listSeparator, " "))
}

// WriteFile writes the rows of t as a table file, sorted by name.
func (t *Table) WriteFile(w io.Writer) error {
	out := csv.NewWriter(w)
	records := [][]string{Columns}
	for _, row := range t.sortedRows() {
		records = append(records, row.cells())
	}
	return errors.Wrap(out.WriteAll(records), "writing the table file")
}

// sortedRows returns the rows sorted by name.
func (t *Table) sortedRows() []Row {
	rows := slices.Clone(t.Rows)
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Name, b.Name) })
	return rows
}

// cells returns the row as CSV cells in the order of Columns.
func (r *Row) cells() []string {
	return []string{
		r.Name,
		strings.Join(r.KeyHashes, listSeparator),
		strconv.FormatFloat(r.Weight, 'g', -1, 64),
		strconv.FormatFloat(r.RateLimit, 'g', -1, 64),
		strconv.Itoa(r.Concurrency),
		strconv.Itoa(r.QueueLimit),
		strings.Join(r.Pools, listSeparator),
	}
}
