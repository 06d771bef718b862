package main

import (
	_ "embed"
	"strings"
)

//go:embed words.txt
var wordList string

//go:embed settings.yaml.tmpl
var settingsTemplate string

var words = parseWords(wordList)

func parseWords(list string) map[string]string {
	parsed := make(map[string]string)
	for line := range strings.Lines(list) {
		key, value, found := strings.Cut(strings.TrimSpace(line), " ")
		if found && key != "#" {
			parsed[key] = value
		}
	}
	return parsed
}

// word returns a name of the platform.
func word(key string) string {
	value, ok := words[key]
	if !ok {
		panic("unknown word " + key)
	}
	return value
}
