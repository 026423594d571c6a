package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
)

// explain writes a finding with the lines of the journal and of the logs that name its tasks or its executors.
func (f *fleet) explain(path string, found finding) error {
	tasks, lives := []string{found.start.task}, []string{found.start.life.id}
	runs := []string{fmt.Sprintf("start of %s: %v", found.start.task, found.start)}
	for _, r := range found.beside {
		tasks, lives = append(tasks, r.task), append(lives, r.life.id)
		runs = append(runs, fmt.Sprintf("beside %s: %v", r.task, r))
	}
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
			if concerns(line, tasks, lives) {
				lines = append(lines, fmt.Sprintf("%s %-14s %s", timeOf(line), source, strings.TrimPrefix(line, timeOf(line)+" ")))
			}
		}
	}
	sort.Strings(lines)
	return os.WriteFile(path, []byte(found.what+"\n\n"+strings.Join(runs, "\n")+"\n\n"+strings.Join(lines, "\n")+"\n"), 0o600)
}

// concerns reports whether a line names a task, or an executor without naming another task, or tells of a fault or an owner.
func concerns(line string, tasks, lives []string) bool {
	if containsAny(line, tasks...) || containsAny(line, " fault ", " process side", " sends queue ", "ownership") {
		return true
	}
	return containsAny(line, lives...) && !containsAny(line, `"task":`, "late order", " start of ", " end of ", " stop of ")
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
