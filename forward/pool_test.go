package forward

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/quetzalshed/quetzalshed/forward/forwardtest"
	"github.com/quetzalshed/quetzalshed/structs"
)

// Guards against misclassified faults: only FaultNotSent and FaultPoolExhausted prove that nothing ran.
func TestFaultKinds(t *testing.T) {
	for fault, want := range map[forwardtest.Fault]Fault{
		forwardtest.DropThenClose: FaultConnectionLost, forwardtest.RunThenStall: FaultTimeout, forwardtest.Truncate: FaultTruncated,
		forwardtest.BadChecksum: FaultChecksum, forwardtest.WrongAttempt: FaultWrongResponse, forwardtest.NoLength: FaultMalformed,
		forwardtest.Oversized: FaultOversized, forwardtest.EndlessHeader: FaultOversized,
	} {
		f := newFleet(t, 1, largeRetryBudget())
		f.scriptFaults(fault)
		chosen, _ := f.table.Choose("price", nil)
		_, err := f.sendAttempt(t.Context(), request("payload", true, testSilence*10), Target{chosen.ID(), chosen.Address}, "id", nil)
		var got *ExchangeError
		qt.Assert(t, errors.As(err, &got), qt.IsTrue)
		qt.Assert(t, got.Kind, qt.Equals, want, qt.Commentf("fault %d", fault))
		open, _ := f.opts.Pool.Counts()
		qt.Assert(t, open, qt.Equals, 0, qt.Commentf("a faulty connection was kept"))
	}
}

// Guards against the reuse of invalidated connections, exceeded limits of the pool, and wrong connection counts.
func TestPoolBoundsAndInvalidation(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	pool, address := f.opts.Pool, f.agents[0].Address()
	pool.opts.MaxPerAddress = 2
	one, err := pool.get(t.Context(), address, false)
	qt.Assert(t, err, qt.IsNil)
	two, err := pool.get(t.Context(), address, false)
	qt.Assert(t, err, qt.IsNil)
	_, err = pool.get(t.Context(), address, false)
	var fault *ExchangeError
	qt.Assert(t, errors.As(err, &fault), qt.IsTrue)
	qt.Assert(t, fault.Kind, qt.Equals, FaultPoolExhausted)
	fresh, err := pool.get(t.Context(), address, true)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("a resolve must not be blocked by the connections of the attempts that it resolves"))
	pool.put(one, true, time.Now())
	open, idle := pool.Counts()
	qt.Assert(t, []int{open, idle}, qt.DeepEquals, []int{3, 1})
	pool.InvalidateConnections(address)
	pool.put(two, true, time.Now())
	pool.put(fresh, true, time.Now())
	open, idle = pool.Counts()
	qt.Assert(t, []int{open, idle}, qt.DeepEquals, []int{0, 0})
	newest, err := pool.get(t.Context(), address, false)
	qt.Assert(t, err, qt.IsNil)
	pool.opts.MaxIdle = 0
	pool.put(newest, true, time.Now())
	open, _ = pool.Counts()
	qt.Assert(t, open, qt.Equals, 0)
}

// Guards against interim responses that are lost or taken for the final response.
func TestInterimResponsesAreDelivered(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.RunOnRelease)
	chosen, _ := f.table.Choose("price", nil)
	states := 0
	reply, err := f.sendAttempt(t.Context(), request("payload", true, testSilence*100), Target{chosen.ID(), chosen.Address}, "id",
		func(h http.Header) {
			if states++; states == 3 {
				f.agents[0].ReleaseHeld()
			}
		})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Status, qt.Equals, http.StatusOK)
	qt.Assert(t, states >= 3, qt.IsTrue)
}

// Guards against the use of the net/http client on the request path, since it resends requests by itself.
func TestRequestPathDoesNotUseHTTPClient(t *testing.T) {
	for _, dir := range []string{".", "../routing", "../limit", "../idempotency", "../entry/requests"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(files) > 0, qt.IsTrue)
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			source, err := os.ReadFile(name)
			qt.Assert(t, err, qt.IsNil)
			file, err := parser.ParseFile(token.NewFileSet(), name, source, 0)
			qt.Assert(t, err, qt.IsNil)
			for _, imported := range file.Imports {
				qt.Assert(t, imported.Path.Value, qt.Not(qt.Equals), `"net/http/httputil"`, qt.Commentf("%s", name))
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if selector, ok := n.(*ast.SelectorExpr); ok && fmt.Sprint(selector.X) == "http" {
					banned := []string{"Transport", "Client", "DefaultTransport", "DefaultClient", "Get", "Post", "PostForm", "Head"}
					qt.Check(t, slices.Contains(banned, selector.Sel.Name), qt.IsFalse, qt.Commentf("%s: %s", name, selector.Sel.Name))
				}
				return true
			})
		}
	}
}

// Guards against accepting a status that net/http can't send to the caller.
func TestInvalidStatusIsResolved(t *testing.T) {
	f := newFleet(t, 1, largeRetryBudget())
	f.scriptFaults(forwardtest.InvalidStatus)
	result := f.doNonIdempotent(t, "payload")
	qt.Assert(t, result.Outcome, qt.Equals, structs.OutcomeAnswered)
	qt.Assert(t, result.Status, qt.Equals, http.StatusOK)
}
