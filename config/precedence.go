package config

import (
	"fmt"
	"slices"
)

// precedence orders services by pairs of "a before b", and otherwise in the order of the file.
type precedence struct {
	names []string
	later map[string][]string
}

func newPrecedence(names []string) *precedence {
	return &precedence{names: names, later: map[string][]string{}}
}

// add records that first precedes second, or returns what is wrong with that.
func (p *precedence) add(first, second string) string {
	switch {
	case !slices.Contains(p.names, second):
		return fmt.Sprintf("service %.80q has no section", second)
	case first == second:
		return "a service can't precede itself"
	case slices.Contains(p.later[first], second):
		return fmt.Sprintf("service %q is given more than once", second)
	}
	p.later[first] = append(p.later[first], second)
	return ""
}

// sort returns the rank of each service. If the pairs are cyclic, it returns one cycle instead, with its first service
// repeated at the end.
func (p *precedence) sort() (ranks map[string]int, cycle []string) {
	earlier := map[string]int{}
	for _, seconds := range p.later {
		for _, second := range seconds {
			earlier[second]++
		}
	}
	ranks = map[string]int{}
	for len(ranks) < len(p.names) {
		// The first service in the order of the file whose predecessors all have a rank.
		next := slices.IndexFunc(p.names, func(name string) bool {
			_, ranked := ranks[name]
			return !ranked && earlier[name] == 0
		})
		if next < 0 {
			return nil, p.cycle(ranks)
		}
		name := p.names[next]
		ranks[name] = len(ranks)
		for _, second := range p.later[name] {
			earlier[second]--
		}
	}
	return ranks, nil
}

// cycle walks back through unranked predecessors until one repeats. Each unranked service has one.
func (p *precedence) cycle(ranks map[string]int) []string {
	at := slices.IndexFunc(p.names, func(name string) bool {
		_, ranked := ranks[name]
		return !ranked
	})
	path := []string{p.names[at]}
	for {
		predecessor := slices.IndexFunc(p.names, func(name string) bool {
			_, ranked := ranks[name]
			return !ranked && slices.Contains(p.later[name], path[0])
		})
		name := p.names[predecessor]
		if end := slices.Index(path, name); end >= 0 {
			return append([]string{name}, path[:end+1]...)
		}
		path = append([]string{name}, path...)
	}
}
