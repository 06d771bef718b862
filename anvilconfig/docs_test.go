package anvilconfig_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestDocumentation guards against fields and defaults that are missing from
// docs/configuration.md or differ there.
func TestDocumentation(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	rendered, err := mustLoad(t, editedBase(t)).Render("north")
	if err != nil {
		t.Fatal(err)
	}
	// The defaults of these fields depend on other fields.
	derivedDefaults := map[string]bool{
		"priority":          true,
		"services":          true,
		"cold-quiet-period": true,
	}
	for line := range strings.Lines(string(rendered)) {
		field, origin, isField := strings.Cut(strings.TrimSpace(line), " # ")
		key, value, _ := strings.Cut(field, ": ")
		if !isField || strings.HasPrefix(value, "{") {
			continue
		}
		row := documentedRow(string(page), key)
		if row == "" {
			t.Errorf("field %s is not documented", key)
		}
		if origin == "default" && !derivedDefaults[key] && !strings.Contains(row, "| "+value+" |") {
			t.Errorf("default %s of %s is not documented: %s", value, key, row)
		}
	}
}

// documentedRow returns the table row of the field, or "".
func documentedRow(page, key string) string {
	for line := range strings.Lines(page) {
		if strings.HasPrefix(line, "| `"+key+"` |") {
			return line
		}
	}
	return ""
}
