package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/store/storetest"
)

// domainChange is an accepted change of a failure domain.
type domainChange struct {
	domain         string
	revision       int64
	sent, accepted time.Time
}

// setDomain takes a failure domain out of service or back in.
func (r *runner) setDomain(entry int, domain string, out bool) (domainChange, error) {
	state := "in"
	if out {
		state = "out"
	}
	c := domainChange{domain: domain, sent: time.Now()}
	var head config.Head
	url := "http://" + r.entries[entry%len(r.entries)] + "/v1/failure-domains/" + domain + "/" + state
	if err := r.call(http.MethodPost, url, nil, &head); err != nil {
		return c, err
	}
	c.accepted, c.revision = time.Now(), head.Revision
	return c, nil
}

// toggleNext makes the i-th change of a series that takes each failure domain in turn out of service and back in.
func (r *runner) toggleNext(entry, i int) (domainChange, error) {
	return r.setDomain(entry, r.domains[i/2%len(r.domains)], i%2 == 0)
}

// waitInForce waits until a revision is in force in all processes. It returns the time at which the last process loaded
// it, and the name of that process.
func (r *runner) waitInForce(revision int64) (last time.Time, process string, err error) {
	err = r.waitFor(fmt.Sprintf("revision %d is in force everywhere", revision), func() (bool, error) {
		last = time.Time{}
		for _, name := range r.processes {
			list, err := r.readLoadedRevisions(name)
			if err != nil {
				return false, err
			}
			at, ok := loadedAt(list, revision)
			if !ok {
				return false, nil
			}
			if at.After(last) {
				last, process = at, name
			}
		}
		return true, nil
	})
	return last, process, err
}

// printChanges prints how long it took until the changes were in force everywhere.
func (r *runner) printChanges(title string, changes []domainChange) error {
	var fromAccepted, fromSent []time.Duration
	for _, c := range changes {
		last, _, err := r.waitInForce(c.revision)
		if err != nil {
			return err
		}
		fromAccepted = append(fromAccepted, last.Sub(c.accepted))
		fromSent = append(fromSent, last.Sub(c.sent))
	}
	printPercentiles(r.out, "  "+title+", from acceptance", fromAccepted)
	printPercentiles(r.out, "  "+title+", from sending", fromSent)
	return nil
}

// measureChanges measures changes while the store works.
func (r *runner) measureChanges() error {
	fmt.Fprintf(r.out, "changes of a failure domain, time until all %d processes have them in force\n", len(r.processes))
	var changes []domainChange
	for i := range r.changeCount {
		if !r.pause(time.Second + rand.N(time.Second)) {
			return r.ctx.Err()
		}
		c, err := r.toggleNext(i, i)
		if err != nil {
			return err
		}
		changes = append(changes, c)
	}
	return r.printChanges("healthy store", changes)
}

// cutStoreLinks makes the store unreachable through the given store links and reachable through all others.
func (r *runner) cutStoreLinks(links ...string) error {
	return r.call(http.MethodPut, "http://"+r.links+"/cut", map[string][]string{"addresses": links}, nil)
}

// settleTime is the wait for leases to expire and ownership to move after the store became reachable or unreachable.
const settleTime = 5 * time.Second

// measureChangesDuringCut measures changes while the store is unreachable for the processes of one store link, for each
// link in turn. A link that is cut accepts connections but forwards nothing.
func (r *runner) measureChangesDuringCut() error {
	var all []domainChange
	groups := len(r.storeLinks)
	for group := range groups {
		if err := r.cutStoreLinks(r.storeLinks[group]); err != nil {
			return err
		}
		if !r.pause(settleTime) {
			return r.ctx.Err()
		}
		for i := group * r.changeCount / groups; i < (group+1)*r.changeCount/groups; i++ {
			if !r.pause(time.Second + rand.N(time.Second)) {
				return r.ctx.Err()
			}
			// Entry 0 uses store link 0 and entry 1 uses store link 1, so this entry still reaches the store.
			entry := 0
			if group == 0 {
				entry = 1
			}
			c, err := r.toggleNext(entry, i)
			if err != nil {
				return err
			}
			all = append(all, c)
		}
		if err := r.cutStoreLinks(); err != nil {
			return err
		}
		if !r.pause(settleTime) {
			return r.ctx.Err()
		}
	}
	return r.printChanges("store cut off from a third", all)
}

func (r *runner) setStoreFaults(f storetest.Faults) error {
	return r.call(http.MethodPost, "http://"+r.store+"/faults", f, nil)
}

// measureChangesStoreDown measures changes with the store down from the acceptance of each change until it is in force.
func (r *runner) measureChangesStoreDown() error {
	var all []domainChange
	for i := range r.changeCount {
		c, err := r.toggleNext(i, i)
		if err != nil {
			return err
		}
		if err := r.setStoreFaults(storetest.Faults{Down: true}); err != nil {
			return err
		}
		_, _, err = r.waitInForce(c.revision)
		if upErr := r.setStoreFaults(storetest.Faults{}); err != nil || upErr != nil {
			return eris.Wrapf(err, "with the store down; ending the outage: %v", upErr)
		}
		all = append(all, c)
		if !r.pause(time.Second + rand.N(time.Second)) {
			return r.ctx.Err()
		}
	}
	return r.printChanges("store down from acceptance on", all)
}

// measureDomainOutages takes each failure domain in turn out of service while tasks of 1 s start everywhere, and measures
// the time until the last start there.
func (r *runner) measureDomainOutages() error {
	const outTime, inTime = 4 * time.Second, 6 * time.Second
	fmt.Fprintln(r.out, "failure domain taken out while tasks of 1 s start, time to the last start there")
	// The tasks take 1 s, so a slot starts less than one task per second.
	tasks := min(r.slotsPerWorker*len(r.workers)*r.outageCount*int((outTime+inTime)/time.Second), maxChurnTasks)
	var jobIDs []string
	for ; tasks > 0; tasks -= maxJobTasks {
		id := fmt.Sprintf("churn-%s-%d", r.label, len(jobIDs))
		jobIDs = append(jobIDs, id)
		if err := r.submitJob(0, batchJob(id, min(tasks, maxJobTasks), false, "run=1s")); err != nil {
			return err
		}
	}
	var outages []domainChange
	var ends []time.Time
	for i := range r.outageCount {
		if !r.pause(inTime) {
			return r.ctx.Err()
		}
		c, err := r.setDomain(i, r.domains[i%len(r.domains)], true)
		if err != nil {
			return err
		}
		outages = append(outages, c)
		if !r.pause(outTime) {
			return r.ctx.Err()
		}
		ends = append(ends, time.Now())
		if _, err := r.setDomain(i, c.domain, false); err != nil {
			return err
		}
	}
	for _, id := range jobIDs {
		if err := r.cancelJob(id); err != nil {
			return err
		}
	}
	return r.printLastStarts(outages, ends)
}

const (
	// maxChurnTasks is below the limit of a shard on open tasks, with a margin.
	maxChurnTasks = 40000
	// maxJobTasks is the limit of an entry on the tasks of a job.
	maxJobTasks = 10000
)

// printLastStarts prints the time from each outage until the last start in its failure domain, and the number of starts
// before and after the acceptance. ends holds the ends of the outages.
func (r *runner) printLastStarts(outages []domainChange, ends []time.Time) error {
	starts, err := r.taskStarts()
	if err != nil {
		return err
	}
	var fromAccepted, fromSent []time.Duration
	before, after := 0, 0
	for i, c := range outages {
		var last time.Time
		for _, s := range starts {
			if s.worker.FailureDomain != c.domain || s.at.After(ends[i]) || s.at.Before(c.sent.Add(-time.Second)) {
				continue
			}
			if s.at.After(last) {
				last = s.at
			}
			if s.at.After(c.accepted) {
				after++
			} else {
				before++
			}
		}
		if last.IsZero() {
			return eris.Wrapf(errNotMeasured, "nothing started in %s in the second before it was taken out", c.domain)
		}
		fromAccepted = append(fromAccepted, last.Sub(c.accepted))
		fromSent = append(fromSent, last.Sub(c.sent))
	}
	printPercentiles(r.out, "  last start, from acceptance (below 0: before it)", fromAccepted)
	printPercentiles(r.out, "  last start, from sending (below 0: before it)", fromSent)
	fmt.Fprintf(r.out, "  starts there in the second before the acceptance %d, after it %d\n", before, after)
	return nil
}
