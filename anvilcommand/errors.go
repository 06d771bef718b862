package anvilcommand

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("anvilcommand")

var (
	// UnreadableFile is the type of errors for files that cannot be read.
	UnreadableFile = namespace.NewType("unreadable_file")
	// InvalidConfiguration is the type of errors for documents with findings.
	InvalidConfiguration = namespace.NewType("invalid_configuration")
	// UnknownSite is the type of errors for a site that no base file declares.
	UnknownSite = namespace.NewType("unknown_site")
)
