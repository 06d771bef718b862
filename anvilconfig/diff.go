package anvilconfig

// Change is the difference of one field.
type Change struct {
	// Path is the field, such as services.registry-portal.slots.
	Path string
	// Old and New are the values as Render prints them; empty means absent.
	Old string
	New string
}

// Diff returns the fields that differ, sorted by path. Either side may be nil,
// which stands for a configuration without any field.
func Diff(old, new *Settings) []Change {
	return nil
}
