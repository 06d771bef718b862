package anvilfollower

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilfollower")

// HistoryGone means that the store has dropped the changes after a revision, so that all
// items have to be read again.
var HistoryGone = Errors.NewType("history-gone")

// StoreOverdue means that the store has not answered a read for much longer than usual.
var StoreOverdue = Errors.NewType("store-overdue")
