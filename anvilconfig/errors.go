package anvilconfig

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("anvilconfig")

// UnknownSite is the type of errors for a site that the base file does not
// declare.
var UnknownSite = namespace.NewType("unknown_site")
