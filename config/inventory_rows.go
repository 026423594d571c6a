package config

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Column names of a CSV inventory, which are also the keys of a worker in a JSON inventory.
const (
	columnWorker          = "worker"
	columnAddress         = "address"
	columnAgentAddress    = "agent_address"
	columnFailureDomain   = "failure_domain"
	columnRack            = "rack"
	columnCores           = "cores"
	columnMemoryMB        = "memory_mb"
	columnAccelerators    = "accelerators"
	columnAcceleratorKind = "accelerator_kind"
)

var requiredColumns = []string{
	columnWorker, columnAddress, columnAgentAddress, columnFailureDomain, columnRack, columnCores, columnMemoryMB,
}

var optionalColumns = []string{columnAccelerators, columnAcceleratorKind}

func isKnownColumn(name string) bool {
	return slices.Contains(requiredColumns, name) || slices.Contains(optionalColumns, name)
}

// Bounds on the capacity of one worker.
const (
	maxCores        = 1024
	minMemoryMB     = 64
	maxMemoryMB     = 64 << 20
	maxAccelerators = 64
)

// milliCoresPerCore converts cores to millicores.
const milliCoresPerCore = 1000

// cell is the text of one field and its line number.
type cell struct {
	text string
	line int
}

// row is one worker as read from a file, before validation.
type row struct {
	cells map[string]cell
	line  int
}

// inventoryParser converts rows to workers and records findings.
type inventoryParser struct {
	file        string
	found       findings.List
	workers     []structs.Worker
	workerLines map[string]int
	// addresses maps each address to the line of its first use.
	addresses map[string]int
	// domainLines maps each failure domain to the line of its first use.
	domainLines map[string]int
}

func newInventoryParser(file string) *inventoryParser {
	return &inventoryParser{
		file: file, workerLines: map[string]int{}, addresses: map[string]int{}, domainLines: map[string]int{},
	}
}

func (p *inventoryParser) addf(line int, section, key, format string, args ...any) {
	p.found.Addf(findings.Location{File: p.file, Section: section, Key: key, Line: line}, format, args...)
}

// tooManyFindings reports whether there are so many findings that parsing can stop.
func (p *inventoryParser) tooManyFindings() bool { return p.found.Len() > MaxFindings }

// rowParser parses the cells of one row.
type rowParser struct {
	*inventoryParser
	row  row
	name string
}

// missing reports whether a column is absent. The CSV or JSON reader has already recorded a finding for it.
func (r *rowParser) missing(column string) bool {
	_, ok := r.row.cells[column]
	return !ok
}

func (r *rowParser) addf(column, format string, args ...any) {
	line := r.row.line
	if found, ok := r.row.cells[column]; ok {
		line = found.line
	}
	r.inventoryParser.addf(line, r.name, column, format, args...)
}

func (r *rowParser) text(column string) string { return strings.TrimSpace(r.row.cells[column].text) }

func (p *inventoryParser) addWorker(workerRow row) {
	r := &rowParser{inventoryParser: p, row: workerRow}
	r.parseWorkerName()
	worker := structs.Worker{
		Name:          r.name,
		FailureDomain: r.parseName(columnFailureDomain, maxDomainNameBytes),
		Rack:          r.parseName(columnRack, maxNameBytes),
		Address:       r.parseAddress(columnAgentAddress),
		TaskAddress:   r.parseAddress(columnAddress),
		Capacity:      r.parseCapacity(),
	}
	worker.AcceleratorKind = r.parseAcceleratorKind(worker.Capacity.Accelerators)
	if _, ok := p.domainLines[worker.FailureDomain]; !ok {
		p.domainLines[worker.FailureDomain] = workerRow.line
	}
	p.workers = append(p.workers, worker)
}

func (r *rowParser) parseWorkerName() {
	if r.missing(columnWorker) {
		return
	}
	name := r.text(columnWorker)
	if message := checkName(name, maxNameBytes); message != "" {
		r.addf(columnWorker, "%s", message)
		return
	}
	r.name = name
	if first, ok := r.workerLines[name]; ok {
		r.addf(columnWorker, "worker %q is already on line %d", name, first)
		return
	}
	r.workerLines[name] = r.row.line
}

func (r *rowParser) parseName(column string, limit int) string {
	if r.missing(column) {
		return ""
	}
	text := r.text(column)
	if message := checkName(text, limit); message != "" {
		r.addf(column, "%s", message)
	}
	return text
}

// parseAddress parses an IP address with a port and records duplicates, since two workers with the same address would
// count one host twice.
func (r *rowParser) parseAddress(column string) string {
	if r.missing(column) {
		return ""
	}
	text := r.text(column)
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		r.addf(column, "%.80q is not an IP address with a port", text)
		return ""
	}
	// An IPv4 address may be written in its IPv4-mapped IPv6 form.
	canonical := netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
	if first, ok := r.addresses[canonical]; ok {
		r.addf(column, "address %s is already used on line %d", canonical, first)
		return canonical
	}
	r.addresses[canonical] = r.row.line
	return canonical
}

func (r *rowParser) parseCapacity() structs.Resources {
	return structs.Resources{
		MilliCores:   r.parseMilliCores(),
		MemoryMB:     r.parseInteger(columnMemoryMB, minMemoryMB, maxMemoryMB),
		Accelerators: r.parseInteger(columnAccelerators, 0, maxAccelerators),
	}
}

func (r *rowParser) parseMilliCores() int64 {
	if r.missing(columnCores) {
		return 0
	}
	milli, message := parseCores(r.text(columnCores), maxCores)
	if message != "" {
		r.addf(columnCores, "%s", message)
	}
	return milli
}

// parseCores parses a number of cores and returns it in millicores, rounded to the nearest one.
func parseCores(text string, limit float64) (milli int64, message string) {
	cores, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(cores) {
		return 0, strconv.Quote(truncate(text)) + " is not a number of cores"
	}
	milli = int64(math.Round(math.Min(cores, limit+1) * milliCoresPerCore))
	if cores > limit || milli < 1 {
		return 0, "cores must be above 0 and at most " + strconv.FormatFloat(limit, 'g', -1, 64)
	}
	return milli, ""
}

// parseInteger parses an integer. An absent cell counts as 0, and so does an empty one if 0 is the minimum.
func (r *rowParser) parseInteger(column string, low, high int64) int64 {
	text := r.text(column)
	if r.missing(column) || text == "" && low == 0 {
		return 0
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.addf(column, "%.80q is not a whole number", text)
		return 0
	}
	if number < low || number > high {
		r.addf(column, "%d is outside the range from %d to %d", number, low, high)
		return 0
	}
	return number
}

func (r *rowParser) parseAcceleratorKind(accelerators int64) string {
	kind := r.text(columnAcceleratorKind)
	switch {
	case kind != "" && accelerators == 0:
		r.addf(columnAcceleratorKind, "kind %.80q is given for a worker without accelerators", kind)
	case kind == "" && accelerators > 0:
		r.addf(columnAcceleratorKind, "the kind of the accelerators is required")
	case kind != "":
		if message := checkName(kind, maxNameBytes); message != "" {
			r.addf(columnAcceleratorKind, "%s", message)
		}
	}
	return kind
}

// truncate shortens text for use in a message.
func truncate(text string) string {
	const limit = 80
	if len(text) > limit {
		return text[:limit]
	}
	return text
}

// finish runs the checks on the whole inventory and returns it if there are no findings.
func (p *inventoryParser) finish() (*Inventory, findings.List) {
	if len(p.workers) == 0 && p.found.Len() == 0 {
		p.addf(0, "", "", "the inventory has no workers")
	}
	if len(p.workers) > MaxWorkers {
		p.addf(0, "", "", "the inventory has more than %d workers", MaxWorkers)
	}
	if len(p.domainLines) > MaxFailureDomains {
		p.addf(0, "", columnFailureDomain, "the inventory has %d failure domains, and at most %d are allowed",
			len(p.domainLines), MaxFailureDomains)
	}
	if p.found.Len() > 0 {
		return nil, limitFindings(p.file, p.found)
	}
	inventory := NewInventory(p.workers)
	for _, domain := range inventory.FailureDomains() {
		if size := len(encodeDomain(inventory, domain)); size > maxBlobBytes {
			p.addf(p.domainLines[domain], "", columnFailureDomain,
				"failure domain %q needs %d bytes in the store, and at most %d are allowed", domain, size, maxBlobBytes)
		}
	}
	if p.found.Len() > 0 {
		return nil, p.found
	}
	return inventory, findings.List{}
}

// limitFindings returns at most MaxFindings findings, plus one with the number of those omitted.
func limitFindings(file string, found findings.List) findings.List {
	if found.Len() <= MaxFindings {
		return found
	}
	var limited findings.List
	for _, finding := range found.Items()[:MaxFindings] {
		limited.Addf(finding.Location, "%s", finding.Message)
	}
	limited.Addf(findings.Location{File: file}, "%d or more further findings are not shown", found.Len()-MaxFindings)
	return limited
}
