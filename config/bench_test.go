package config_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

// BenchmarkAcceptedChange measures the store calls of an accepted change and the bytes that it writes, by kind of
// change and size of the fleet. Pruning of unused blobs is included.
func BenchmarkAcceptedChange(b *testing.B) {
	const perDomain = 189 // 3,400 workers in 18 failure domains
	sizes := []struct{ domains, perDomain int }{{3, 4}, {6, 57}, {18, perDomain}}
	changes := map[string]func(i, domains, perDomain int) config.Change{
		"domain": func(i, domains, _ int) config.Change {
			return domainChange("", fmt.Sprintf("d%d", i%domains), i/domains%2 == 0)
		},
		"rules": func(i, _, _ int) config.Change {
			return rulesChange("", fmt.Sprintf("[cluster]\nshards = %d\n", 2+i%50))
		},
		"inventory": func(i, domains, perDomain int) config.Change {
			return inventoryChange("", inventoryCSV(domains, perDomain, 2+i%50))
		},
	}
	for _, size := range sizes {
		for _, kind := range []string{"domain", "rules", "inventory"} {
			b.Run(fmt.Sprintf("%s/workers=%d", kind, size.domains*size.perDomain), func(b *testing.B) {
				backend := storetest.New(clock.NewManual(start))
				acceptor := newAcceptor(backend)
				ctx := context.Background()
				head, err := acceptor.Apply(ctx, 0, inventoryChange("", inventoryCSV(size.domains, size.perDomain, 1)))
				if err != nil {
					b.Fatal(err)
				}
				written, largest, headBytes := 0, 0, 0
				backend.OnCommit(func(entry store.Entry) {
					written += len(entry.Value)
					largest = max(largest, len(entry.Value))
					if entry.Key == config.HeadKey {
						headBytes = len(entry.Value)
					}
				})
				reads, writes := backend.Counters().Reads(), backend.Counters().Writes()
				b.ResetTimer()
				for i := range b.N {
					if head, err = acceptor.Apply(ctx, head.Revision, changes[kind](i, size.domains, size.perDomain)); err != nil {
						b.Fatal(err)
					}
				}
				n := float64(b.N)
				b.ReportMetric(float64(backend.Counters().Reads()-reads)/n, "reads/op")
				b.ReportMetric(float64(backend.Counters().Writes()-writes)/n, "writes/op")
				b.ReportMetric(float64(written)/n, "B-written/op")
				b.ReportMetric(float64(largest), "B-largest")
				b.ReportMetric(float64(headBytes), "B-head")
			})
		}
	}
}
