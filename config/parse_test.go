package config_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/config"
)

const header = "worker,address,agent_address,failure_domain,rack,cores,memory_mb,accelerators,accelerator_kind\n"

// inventoryCases holds invalid inventories with their expected findings, one per line.
var inventoryCases = []struct {
	name, raw, expected string
	format              config.Format
}{
	{"duplicate hosts", header + "a,10.0.0.1:1,10.0.0.1:2,d,r,16,4096,0,\nb,10.0.0.1:1,10.0.0.2:2,d,r,16,4096,0,\n" +
		"a,10.0.0.3:1,[::ffff:10.0.0.1]:2,d,r,16,4096,0,\nc,10.0.0.4:1,10.0.0.4:1,d,r,16,4096,0,\n", `
f:3 [b] address: address 10.0.0.1:1 is already used on line 2
f:4 [a] worker: worker "a" is already on line 2
f:4 [a] agent_address: address 10.0.0.1:2 is already used on line 2
f:5 [c] address: address 10.0.0.4:1 is already used on line 5`, config.FormatCSV},
	{"values out of bounds", header + "-a,host:1,10.0.0.1:0,d d,,1e9,1,99,k\nb,10.0.0.2:1,10.0.0.2:2,d,r,NaN,4096.5,,k\nc,,,d,r,0.0001,4096,1,\n", `
f:2 worker: "-a" is not a name of letters, digits, '.', '_' and '-' that starts with a letter or digit
f:2 failure_domain: "d d" is not a name of letters, digits, '.', '_' and '-' that starts with a letter or digit
f:2 rack: a name is required
f:2 agent_address: "10.0.0.1:0" is not an IP address with a port
f:2 address: "host:1" is not an IP address with a port
f:2 cores: cores must be above 0 and at most 1024
f:2 memory_mb: 1 is outside the range from 64 to 67108864
f:2 accelerators: 99 is outside the range from 0 to 64
f:2 accelerator_kind: kind "k" is given for a worker without accelerators
f:3 [b] cores: "NaN" is not a number of cores
f:3 [b] memory_mb: "4096.5" is not a whole number
f:3 [b] accelerator_kind: kind "k" is given for a worker without accelerators
f:4 [c] agent_address: "" is not an IP address with a port
f:4 [c] address: "" is not an IP address with a port
f:4 [c] cores: cores must be above 0 and at most 1024
f:4 [c] accelerator_kind: the kind of the accelerators is required`, config.FormatCSV},
	{"columns", "worker,worker,owner,address,failure_domain,rack,cores,memory_mb\na,b\n", `
f:1 worker: column is given more than once
f:1 owner: unknown column
f:1 agent_address: required column is missing
f:2: row has 2 fields, and the header has 8`, config.FormatCSV},
	{"quotes", header + "a,\"10.0.0.1:1\"x,10.0.0.1:2,d,r,16,4096,0,\n\"b\nb\",10.0.0.2:1,10.0.0.2:2,d,r,x,4096,0,\n", `
f:2: not CSV: extraneous or missing " in quoted-field
f:3 worker: "b\nb" is not a name of letters, digits, '.', '_' and '-' that starts with a letter or digit
f:4 cores: "x" is not a number of cores`, config.FormatCSV},
	{"empty", "", "\nf:1: the line with the names of the columns is missing", config.FormatCSV},
	{"no workers", header, "\nf: the inventory has no workers", config.FormatCSV},
	{"format", header, `
f: unknown inventory format "xml"`, "xml"},
	{"JSON", `{"workers": [
 {"worker": "a", "address": "10.0.0.1:1", "agent_address": "10.0.0.1:2", "failure_domain": "d",
  "rack": ["r"],
  "colour": "red",
  "cores": 16, "cores": 8, "memory_mb": "x"}
], "owner": 1}`, `
f:3 [a] rack: a string or a number is expected
f:4 [a] colour: unknown key
f:5 [a] cores: key is given more than once
f:2 [a] rack: required key is missing
f:5 [a] memory_mb: "x" is not a whole number
f:6 owner: unknown key`, config.FormatJSON},
	{"cut JSON", "[\n {\"worker\":", "\nf:2: not a JSON inventory: unexpected EOF", config.FormatJSON},
	{"trailing JSON", "[]\n[]", "\nf:2: not a JSON inventory: text follows the inventory", config.FormatJSON},
}

// Guards against inventory findings that lack their location or hide others.
func TestInventoryFindings(t *testing.T) {
	for _, tc := range inventoryCases {
		t.Run(tc.name, func(t *testing.T) {
			inventory, found := config.ParseInventory("f", tc.format, []byte(tc.raw))
			qt.Assert(t, inventory, qt.IsNil)
			qt.Assert(t, found.Err(), qt.IsNotNil)
			qt.Assert(t, found.Err().Error(), qt.Equals, strings.TrimPrefix(tc.expected, "\n"))
		})
	}
}

// Guards against inputs above a bound that are accepted, take long to reject, or produce unbounded findings.
func TestInventoryBounds(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		raw      []byte
		expected string
	}{
		{make([]byte, config.MaxInventoryBytes+1), `f: the inventory has 8388609 bytes, and at most 8388608 are allowed`},
		{inventoryCSV(20, 1001, 16), `f: the inventory has more than 20000 workers`},
		{inventoryCSV(25, 1, 16), `f failure_domain: the inventory has 25 failure domains, and at most 24 are allowed`},
		{inventoryCSV(1, 5000, 16), `f:2 failure_domain: failure domain "d0" needs \d+ bytes in the store, and at most 524288 are allowed`},
		{[]byte(header + strings.Repeat("x\n", 1000)), `(f:\d+: row has 1 fields, and the header has 9\n){200}f: 1 or more further findings are not shown`},
	} {
		_, found := config.ParseInventory("f", config.FormatCSV, tc.raw)
		c.Check(found.Err(), qt.ErrorMatches, tc.expected)
	}
}

// Guards against rules findings that lack their location or hide others, and against accepting inconsistent rules.
func TestRulesFindings(t *testing.T) {
	for _, tc := range []struct{ name, raw, expected string }{
		{"cycle", "[service a]\nbefore = b\n[service b]\nbefore = c\n\n[service c]\nbefore = a\n[service d]\nbefore = a\n", `
f:2 [service a] before: precedence is cyclic: a before b before c before a`},
		{"precedence", "[service a]\nbefore = a, x, b, b\n[service b]\n[service c c]\n", `
f:4 [service c c]: "c c" is not a name of letters, digits, '.', '_' and '-' that starts with a letter or digit
f:2 [service a] before: a service can't precede itself
f:2 [service a] before: service "x" has no section
f:2 [service a] before: service "b" is given more than once`},
		{"contradictions", "[cluster]\nowner_validity = 2s\n[guard]\nthrottle_at = 0.6\nevict_at = 0.5\n" +
			"[service a]\nfailure_domains = x, x\nspread_domains = 3\n", `
f:2 [cluster] owner_validity: owner_validity 2s is below task_lease 4s
f:3 [guard] resume_at: resume_at 0.7 must be below throttle_at 0.6
f:5 [guard] evict_at: evict_at 0.5 must not be below throttle_at 0.6
f:7 [service a] failure_domains: failure domain "x" is given more than once
f:8 [service a] spread_domains: spread_domains 3 contradicts failure_domains, which has 2`},
		{"keys", "stray = 1\n[cluster]\nshards = 9999\nshards = 2\nstart_freshness = 9s\n[team t]\ncores = 1\n[teem]\n", `
f:3 [cluster] shards: key is given more than once
f:3 [cluster] shards: 9999 is above the maximum 1024
f:5 [cluster] start_freshness: 9s is above the maximum 5s
f:6 [team t] memory_mb: required key is missing
f:1 stray: key precedes the first section
f:8 [teem]: unknown section`},
		{"default section", "[cluster]\n[DEFAULT]\nshards = 2\n", "\nf:2 [DEFAULT]: unknown section"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			parsed, found := config.ParseRules("f", []byte(tc.raw))
			qt.Assert(t, parsed, qt.IsNil)
			qt.Assert(t, found.Err(), qt.IsNotNil)
			qt.Assert(t, found.Err().Error(), qt.Equals, strings.TrimPrefix(tc.expected, "\n"))
		})
	}
	_, found := config.ParseRules("f", make([]byte, config.MaxRulesBytes+1))
	qt.Assert(t, found.Err(), qt.ErrorMatches, "f: the rules have 262145 bytes, and at most 262144 are allowed")
}

// Guards against services that are sorted against their precedence, or out of file order without a precedence.
func TestServiceOrder(t *testing.T) {
	parsed, found := config.ParseRules("f", []byte("[service a]\n[service b]\nbefore = a\n[service c]\n[service d]\nbefore = c, b\n"))
	qt.Assert(t, found.Err(), qt.IsNil)
	var order []string
	for _, service := range parsed.Rules.Services {
		order = append(order, service.Name)
	}
	qt.Assert(t, fmt.Sprint(order), qt.Equals, "[d b a c]")
}
