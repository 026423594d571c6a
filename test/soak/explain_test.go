package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
)

// explain writes a finding with the lines of the journal and of the logs that name its task or its executors.
func (f *fleet) explain(path string, found finding) error {
	names := []string{found.first.task, found.first.life.id, found.second.life.id}
	files, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		return err
	}
	var lines []string
	for _, file := range append(files, filepath.Join(f.dir, "journal.txt")) {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		source := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
		for _, line := range strings.Split(string(data), "\n") {
			if concerns(line, names) {
				lines = append(lines, fmt.Sprintf("%s %-14s %s", timeOf(line), source, strings.TrimPrefix(line, timeOf(line)+" ")))
			}
		}
	}
	sort.Strings(lines)
	return os.WriteFile(path, []byte(found.what+"\n\n"+strings.Join(lines, "\n")+"\n"), 0o600)
}

// concerns reports whether a line names the task, or an executor without naming another task, or tells of a fault or an owner.
func concerns(line string, names []string) bool {
	if containsAny(line, names[0], " fault ", " process side", "ownership") {
		return true
	}
	return containsAny(line, names[1:]...) && !containsAny(line, `"task":`, "late order", " start of ", " end of ", " stop of ")
}

func containsAny(line string, parts ...string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(line, part) })
}

// timeOf returns the time of a line of the journal or of a log.
func timeOf(line string) string {
	if _, rest, ok := strings.Cut(line, `"@timestamp":"`); ok {
		line = rest
	}
	return line[:min(len(line), len(journalTime))]
}
