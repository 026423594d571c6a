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

// Columns of an inventory, which are also the keys of a worker in a JSON inventory.
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

func knownColumn(name string) bool {
	return slices.Contains(requiredColumns, name) || slices.Contains(optionalColumns, name)
}

// Bounds on what one worker holds.
const (
	maxCores        = 1024
	minMemoryMB     = 64
	maxMemoryMB     = 64 << 20
	maxAccelerators = 64
)

// milliPerCore converts cores to thousandths of a core.
const milliPerCore = 1000

// cell is the text of one field and the line on which it stands.
type cell struct {
	text string
	line int
}

// row is one worker as it was read from a file.
type row struct {
	cells map[string]cell
	line  int
}

// inventoryChecker turns rows into workers and records findings.
type inventoryChecker struct {
	file    string
	found   findings.List
	workers []structs.Worker
	lines   map[string]int
	// addresses maps each address to the line on which it was first used.
	addresses map[string]int
	// domainLines maps each failure domain to the line on which it was first used.
	domainLines map[string]int
}

func newInventoryChecker(file string) *inventoryChecker {
	return &inventoryChecker{
		file: file, lines: map[string]int{}, addresses: map[string]int{}, domainLines: map[string]int{},
	}
}

func (c *inventoryChecker) addf(line int, section, key, format string, args ...any) {
	c.found.Addf(findings.Place{File: c.file, Section: section, Key: key, Line: line}, format, args...)
}

// full tells whether so many findings were made that the remaining rows needn't be checked.
func (c *inventoryChecker) full() bool { return c.found.Len() > MaxFindings }

// rowChecker reads the cells of one row.
type rowChecker struct {
	*inventoryChecker
	row  row
	name string
}

// absent tells whether a column is missing altogether, which its reader has reported already.
func (r *rowChecker) absent(column string) bool {
	_, ok := r.row.cells[column]
	return !ok
}

func (r *rowChecker) addf(column, format string, args ...any) {
	line := r.row.line
	if found, ok := r.row.cells[column]; ok {
		line = found.line
	}
	r.inventoryChecker.addf(line, r.name, column, format, args...)
}

func (r *rowChecker) text(column string) string { return strings.TrimSpace(r.row.cells[column].text) }

func (c *inventoryChecker) add(from row) {
	r := &rowChecker{inventoryChecker: c, row: from}
	r.checkWorkerName()
	worker := structs.Worker{
		Name:          r.name,
		FailureDomain: r.named(columnFailureDomain, maxDomainNameBytes),
		Rack:          r.named(columnRack, maxNameBytes),
		Address:       r.address(columnAgentAddress),
		TaskAddress:   r.address(columnAddress),
		Capacity:      r.capacity(),
	}
	worker.AcceleratorKind = r.acceleratorKind(worker.Capacity.Accelerators)
	if _, ok := c.domainLines[worker.FailureDomain]; !ok {
		c.domainLines[worker.FailureDomain] = from.line
	}
	c.workers = append(c.workers, worker)
}

func (r *rowChecker) checkWorkerName() {
	if r.absent(columnWorker) {
		return
	}
	name := r.text(columnWorker)
	if message := checkName(name, maxNameBytes); message != "" {
		r.addf(columnWorker, "%s", message)
		return
	}
	r.name = name
	if first, ok := r.lines[name]; ok {
		r.addf(columnWorker, "worker %q is already on line %d", name, first)
		return
	}
	r.lines[name] = r.row.line
}

func (r *rowChecker) named(column string, limit int) string {
	if r.absent(column) {
		return ""
	}
	text := r.text(column)
	if message := checkName(text, limit); message != "" {
		r.addf(column, "%s", message)
	}
	return text
}

// address reads an IP address with a port. Two workers with one address would be one host counted twice.
func (r *rowChecker) address(column string) string {
	if r.absent(column) {
		return ""
	}
	text := r.text(column)
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		r.addf(column, "%.80q is not an IP address with a port", text)
		return ""
	}
	// An IPv4 address may be written as an IPv6 one.
	canonical := netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port()).String()
	if first, ok := r.addresses[canonical]; ok {
		r.addf(column, "address %s is already used on line %d", canonical, first)
		return canonical
	}
	r.addresses[canonical] = r.row.line
	return canonical
}

func (r *rowChecker) capacity() structs.Resources {
	return structs.Resources{
		MilliCores:   r.cores(),
		MemoryMB:     r.whole(columnMemoryMB, minMemoryMB, maxMemoryMB),
		Accelerators: r.whole(columnAccelerators, 0, maxAccelerators),
	}
}

func (r *rowChecker) cores() int64 {
	if r.absent(columnCores) {
		return 0
	}
	milli, message := parseCores(r.text(columnCores), maxCores)
	if message != "" {
		r.addf(columnCores, "%s", message)
	}
	return milli
}

// parseCores reads a number of cores with up to three decimals and returns thousandths.
func parseCores(text string, limit float64) (milli int64, message string) {
	cores, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(cores) {
		return 0, strconv.Quote(clip(text)) + " is not a number of cores"
	}
	milli = int64(math.Round(math.Min(cores, limit+1) * milliPerCore))
	if cores > limit || milli < 1 {
		return 0, "cores must be above 0 and at most " + strconv.FormatFloat(limit, 'g', -1, 64)
	}
	return milli, ""
}

// whole reads a whole number; an empty optional cell is 0.
func (r *rowChecker) whole(column string, low, high int64) int64 {
	text := r.text(column)
	if r.absent(column) || text == "" && low == 0 {
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

func (r *rowChecker) acceleratorKind(accelerators int64) string {
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

// clip shortens text for a message.
func clip(text string) string {
	const limit = 80
	if len(text) > limit {
		return text[:limit]
	}
	return text
}

// finish checks the inventory as a whole and returns it when it has no findings.
func (c *inventoryChecker) finish() (*Inventory, findings.List) {
	if len(c.workers) == 0 && c.found.Len() == 0 {
		c.addf(0, "", "", "the inventory has no workers")
	}
	if len(c.workers) > MaxWorkers {
		c.addf(0, "", "", "the inventory has more than %d workers", MaxWorkers)
	}
	if len(c.domainLines) > MaxFailureDomains {
		c.addf(0, "", columnFailureDomain, "the inventory has %d failure domains, and at most %d are allowed",
			len(c.domainLines), MaxFailureDomains)
	}
	if c.found.Len() > 0 {
		return nil, limitFindings(c.file, c.found)
	}
	inventory := NewInventory(c.workers)
	for _, domain := range inventory.FailureDomains() {
		if size := len(encodeDomain(inventory, domain)); size > maxBlobBytes {
			c.addf(c.domainLines[domain], "", columnFailureDomain,
				"failure domain %q needs %d bytes in the store, and at most %d are allowed", domain, size, maxBlobBytes)
		}
	}
	if c.found.Len() > 0 {
		return nil, c.found
	}
	return inventory, findings.List{}
}

// limitFindings returns the first MaxFindings findings and one that tells how many follow.
func limitFindings(file string, found findings.List) findings.List {
	if found.Len() <= MaxFindings {
		return found
	}
	var limited findings.List
	for _, finding := range found.Items()[:MaxFindings] {
		limited.Addf(finding.Place, "%s", finding.Message)
	}
	limited.Addf(findings.Place{File: file}, "%d or more further findings are not shown", found.Len()-MaxFindings)
	return limited
}
