package anvilstandin

import "github.com/joomcode/errorx"

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilstandin")

// Error types of the stand-ins.
var (
	// StartFailed means that a stand-in could not be started.
	StartFailed = Errors.NewType("failed")
	// BadSetting means that a setting or a fault control is not valid.
	BadSetting = Errors.NewType("bad-setting")
)
