package anvilmodel

import "time"

// CrashReport passes on that leaves have crashed under a request and none has answered it.
type CrashReport struct {
	Fingerprint Fingerprint
	// Crashes identifies the processes that have crashed, or some of them, and TrialCrashes
	// those of them that the request was sent to in a trial.
	Crashes      []uint64
	TrialCrashes []uint64
	// Quarantined is set if the request is refused.
	Quarantined bool
	// Age is the time since the last of the crashes.
	Age time.Duration
}
