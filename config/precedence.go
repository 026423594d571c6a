package config

import (
	"fmt"
	"slices"
)

// precedence orders services by "a before b" constraints. Services without constraints keep their order in the file.
type precedence struct {
	names      []string
	successors map[string][]string
}

func newPrecedence(names []string) *precedence {
	return &precedence{names: names, successors: map[string][]string{}}
}

// add records that first precedes second. It returns a message if the constraint is invalid.
func (p *precedence) add(first, second string) string {
	switch {
	case !slices.Contains(p.names, second):
		return fmt.Sprintf("service %.80q has no section", second)
	case first == second:
		return "a service can't precede itself"
	case slices.Contains(p.successors[first], second):
		return fmt.Sprintf("service %q is given more than once", second)
	}
	p.successors[first] = append(p.successors[first], second)
	return ""
}

// topologicalRanks returns the rank of each service. If the constraints are cyclic, it returns one cycle instead, with
// its first service repeated at the end.
func (p *precedence) topologicalRanks() (ranks map[string]int, cycle []string) {
	inDegree := map[string]int{}
	for _, successors := range p.successors {
		for _, successor := range successors {
			inDegree[successor]++
		}
	}
	ranks = map[string]int{}
	for len(ranks) < len(p.names) {
		// Find the first service in file order whose predecessors all have a rank.
		next := slices.IndexFunc(p.names, func(name string) bool {
			_, ranked := ranks[name]
			return !ranked && inDegree[name] == 0
		})
		if next < 0 {
			return nil, p.findCycle(ranks)
		}
		name := p.names[next]
		ranks[name] = len(ranks)
		for _, successor := range p.successors[name] {
			inDegree[successor]--
		}
	}
	return ranks, nil
}

// findCycle follows unranked predecessors back from an unranked service until one repeats. Each unranked service has an
// unranked predecessor.
func (p *precedence) findCycle(ranks map[string]int) []string {
	start := slices.IndexFunc(p.names, func(name string) bool {
		_, ranked := ranks[name]
		return !ranked
	})
	path := []string{p.names[start]}
	for {
		predecessor := slices.IndexFunc(p.names, func(name string) bool {
			_, ranked := ranks[name]
			return !ranked && slices.Contains(p.successors[name], path[0])
		})
		name := p.names[predecessor]
		if end := slices.Index(path, name); end >= 0 {
			return append([]string{name}, path[:end+1]...)
		}
		path = append([]string{name}, path...)
	}
}
