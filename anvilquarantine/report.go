package anvilquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// Digest returns a digest of the suspected and quarantined requests; 0 if there are none. It
// does not depend on their order.
func (r *Registry) Digest(now time.Time) uint64 {
	var digest uint64
	for f, e := range r.entries {
		if status := e.status(now); status != StatusAllowed {
			digest ^= xxhash.Sum64(append(f[:], byte(status)))
		}
	}
	return digest
}

// Reports returns what to pass on to another node with the given digest, the most restricted
// requests first: what has changed within announceDuration and, if the digest differs, also the
// other suspected and quarantined requests.
func (r *Registry) Reports(digest uint64, now time.Time) []anvilmodel.CrashReport {
	all := digest != r.Digest(now)
	var reports []anvilmodel.CrashReport
	for f, e := range r.entries {
		age := now.Sub(e.crashedAt)
		status := e.status(now)
		if len(e.crashes) == 0 || age >= announceDuration && (!all || status == StatusAllowed) {
			continue
		}
		reports = append(reports, anvilmodel.CrashReport{
			Fingerprint:  f,
			Crashes:      slices.Clone(e.crashes),
			TrialCrashes: slices.Clone(e.trialCrashes),
			Quarantined:  status == StatusQuarantined,
			Age:          age,
		})
	}
	slices.SortFunc(reports, func(a, b anvilmodel.CrashReport) int {
		return cmp.Or(compareQuarantined(a, b), cmp.Compare(len(b.Crashes), len(a.Crashes)),
			cmp.Compare(a.Age, b.Age), slices.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return reports[:min(len(reports), MaxReports)]
}

func compareQuarantined(a, b anvilmodel.CrashReport) int {
	switch {
	case a.Quarantined == b.Quarantined:
		return 0
	case a.Quarantined:
		return -1
	default:
		return 1
	}
}

// Change is a request whose status has changed.
type Change struct {
	Fingerprint anvilmodel.Fingerprint
	Status      Status
}

// Merge records what another node has passed on, and returns the requests that are more
// restricted than before. Crashes from before a leaf answered the request are ignored.
func (r *Registry) Merge(reports []anvilmodel.CrashReport, now time.Time) []Change {
	var changes []Change
	for _, report := range reports[:min(len(reports), MaxReports)] {
		crashedAt := now.Add(-max(report.Age, 0))
		if len(report.Crashes) == 0 || now.Sub(crashedAt) >= suspicionRetention {
			continue
		}
		e := r.entry(report.Fingerprint, now)
		if !crashedAt.After(e.clearedAt) {
			continue
		}
		before := e.status(now)
		trialsBefore := len(e.trialCrashes)
		for _, process := range report.Crashes {
			e.crashes = addProcess(e.crashes, process, suspectCrashes)
		}
		for _, process := range report.TrialCrashes {
			e.trialCrashes = addProcess(e.trialCrashes, process, quarantineTrials)
		}
		if crashedAt.After(e.crashedAt) {
			e.crashedAt = crashedAt
		}
		// The trials of an earlier quarantine do not count for another one.
		lastTrial := trialsBefore < quarantineTrials && len(e.trialCrashes) >= quarantineTrials
		isQuarantined := report.Quarantined || lastTrial
		if until := crashedAt.Add(Duration); isQuarantined && until.After(e.quarantinedUntil) {
			e.quarantinedUntil = until
		}
		if status := e.status(now); status > before {
			changes = append(changes, Change{
				Fingerprint: report.Fingerprint,
				Status:      status,
			})
		}
	}
	return changes
}
