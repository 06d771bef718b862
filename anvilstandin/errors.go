package anvilstandin

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilstandin")

// Error types of the fakes.
var (
	// StartFailed means that a fake could not be started.
	StartFailed = Errors.NewType("failed")
	// BadSetting means that a setting or a value of a fault control is invalid.
	BadSetting = Errors.NewType("bad-setting")
)
