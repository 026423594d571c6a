package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Bounds of a job.
const (
	// MaxTasks bounds the tasks of one job, so that its state fits into one record of the shard's log.
	MaxTasks = 10000
	// maxAttempts bounds max_attempts, the number of failed attempts after which a task fails.
	maxAttempts = 100
	maxPriority = 100
	// maxNameBytes bounds the job's ID, team, name and class.
	maxNameBytes = 63
	// maxCommandBytes bounds the command.
	maxCommandBytes = 4096
	// maxExpectedSeconds bounds the declared run time to one leap year.
	maxExpectedSeconds = 366 * 24 * 3600
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

const (
	// maxFindings limits the findings about one job, since a body holds thousands of unknown keys or unknown racks.
	maxFindings = 100
	// maxShownKeyBytes limits the key in a finding, which the sender of the job chooses.
	maxShownKeyBytes = 80
	// maxMessageBytes limits the text of a finding, which may contain a number of the job of any length.
	maxMessageBytes = 300
)

// parseJob parses and validates a job and sets defaults. It returns the first maxFindings findings at once, and the number of the
// others.
func parseJob(raw []byte, inventory *config.Inventory) (structs.Job, findings.List) {
	v := validator{inventory: inventory}
	job := v.parse(raw)
	if v.omitted > 0 {
		v.found.Addf(findings.Location{File: "job"}, "%d more findings", v.omitted)
	}
	return job, v.found
}

func (v *validator) parse(raw []byte) (job structs.Job) {
	if !json.Valid(raw) {
		v.addf("", "not valid JSON")
		return job
	}
	v.checkUnknownKeys("", raw, reflect.TypeFor[structs.Job]())
	// Decode field by field, so that a field of the wrong type doesn't hide findings about the others.
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		v.addf("", "not a JSON object")
		return job
	}
	mistyped := v.decode(fields, &job)
	v.checkValues(&job, mistyped)
	return job
}

type validator struct {
	inventory *config.Inventory
	found     findings.List
	// omitted is the number of findings beyond maxFindings.
	omitted int
}

func (v *validator) addf(key, format string, args ...any) {
	if v.found.Len() >= maxFindings {
		v.omitted++
		return
	}
	if len(key) > maxShownKeyBytes {
		key = strings.ToValidUTF8(key[:maxShownKeyBytes], "") + "..."
	}
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	v.found.Addf(findings.Location{File: "job", Key: key}, "%s", message)
}

// jsonFields maps the JSON keys of a struct type to the types of their fields.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	known := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		known[name] = t.Field(i).Type
	}
	return known
}

func (v *validator) checkUnknownKeys(prefix string, raw []byte, t reflect.Type) {
	var given map[string]json.RawMessage
	if json.Unmarshal(raw, &given) != nil {
		return
	}
	known := jsonFields(t)
	for _, key := range slices.Sorted(func(yield func(string) bool) {
		for key := range given {
			if !yield(key) {
				return
			}
		}
	}) {
		field, ok := known[key]
		switch {
		case !ok:
			v.addf(prefix+key, "unknown key")
		case field.Kind() == reflect.Struct && field != reflect.TypeFor[structs.Job]() && key != "accepted":
			v.checkUnknownKeys(prefix+key+".", given[key], field)
		}
	}
}

// decode decodes the job field by field and returns the keys whose values have the wrong type.
func (v *validator) decode(fields map[string]json.RawMessage, job *structs.Job) map[string]bool {
	mistyped := map[string]bool{}
	value := reflect.ValueOf(job).Elem()
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		raw, given := fields[name]
		if !given || name == "accepted" || bytes.Equal(raw, []byte("null")) {
			continue
		}
		if err := json.Unmarshal(raw, value.Field(i).Addr().Interface()); err != nil {
			mistyped[name] = true
			v.addf(name, "wrong type: %v", err)
		}
	}
	return mistyped
}

// checkValues records findings about the values of a job and sets defaults.
func (v *validator) checkValues(job *structs.Job, mistyped map[string]bool) {
	if job.ID != "" && !mistyped["id"] {
		v.checkName("id", job.ID)
	}
	if !mistyped["team"] {
		v.checkName("team", job.Team)
	}
	if job.Name == "" {
		job.Name = job.ID
	}
	if job.Name != "" {
		v.checkName("name", job.Name)
	}
	if job.Class == "" {
		job.Class = job.Name
	}
	if job.Class != "" && job.Class != job.Name {
		v.checkName("class", job.Class)
	}
	if job.Kind != structs.KindBatch && job.Kind != structs.KindService && !mistyped["kind"] {
		v.addf("kind", "%.40q is neither batch nor service", string(job.Kind))
	}
	if job.Kind == structs.KindService && job.Name == "" {
		v.addf("name", "a service needs a name")
	}
	if job.Kind == structs.KindService && job.Class != job.Name {
		v.addf("class", "the class of a service is its name")
	}
	v.checkNumbers(job, mistyped)
	v.resolveConstraints(&job.Constraints)
	if len(job.Command) > maxCommandBytes {
		v.addf("command", "longer than %d bytes", maxCommandBytes)
	}
}

func (v *validator) checkName(key, value string) {
	switch {
	case value == "":
		v.addf(key, "required key is missing")
	case len(value) > maxNameBytes:
		v.addf(key, "longer than %d bytes", maxNameBytes)
	case !namePattern.MatchString(value):
		v.addf(key, "%.80q is not a name of letters, digits, '.', '_' and '-' that starts with a letter or digit", value)
	}
}

func (v *validator) checkNumbers(job *structs.Job, mistyped map[string]bool) {
	checkRange := func(key string, value, low, high int64) {
		if !mistyped[key] && (value < low || value > high) {
			v.addf(key, "%d is not between %d and %d", value, low, high)
		}
	}
	checkRange("tasks", int64(job.Tasks), 1, MaxTasks)
	checkRange("priority", int64(job.Priority), 0, maxPriority)
	checkRange("max_attempts", int64(job.MaxAttempts), 0, maxAttempts)
	if !mistyped["expected_seconds"] && (job.ExpectedSeconds < 0 || job.ExpectedSeconds > maxExpectedSeconds) {
		v.addf("expected_seconds", "%g is not between 0 and %d", job.ExpectedSeconds, maxExpectedSeconds)
	}
	if mistyped["resources"] {
		return
	}
	for _, field := range []struct {
		key        string
		value, low int64
	}{
		{"resources.milli_cores", job.Resources.MilliCores, 1},
		{"resources.memory_mb", job.Resources.MemoryMB, 1},
		{"resources.accelerators", job.Resources.Accelerators, 0},
	} {
		if field.value < field.low {
			v.addf(field.key, "%d is below %d", field.value, field.low)
		}
	}
}

// resolveConstraints checks names against the inventory and replaces racks by "failure domain/rack", since rack names
// are unique only within a failure domain.
func (v *validator) resolveConstraints(c *structs.Constraints) {
	for i, domain := range c.FailureDomains {
		if !v.inventory.HasDomain(domain) {
			v.addf(fmt.Sprintf("constraints.failure_domains[%d]", i), "failure domain %.80q is not in the inventory", domain)
		}
	}
	var racks []string
	for i, name := range c.Racks {
		matches := v.matchingRacks(name)
		if len(matches) == 0 {
			v.addf(fmt.Sprintf("constraints.racks[%d]", i), "rack %.80q is not in the inventory", name)
		}
		racks = append(racks, matches...)
	}
	c.Racks = racks
}

// matchingRacks returns the qualified names of all racks that a qualified or unqualified name matches.
func (v *validator) matchingRacks(name string) []string {
	var matches []string
	for _, domain := range v.inventory.FailureDomains() {
		for _, rack := range v.inventory.Racks(domain) {
			if name == rack || name == domain+"/"+rack {
				matches = append(matches, domain+"/"+rack)
			}
		}
	}
	return matches
}
