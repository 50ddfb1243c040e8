package main

import (
	_ "embed" // for wire.json
	"encoding/json"
)

// wireText holds the names of the platform's headers and fields as its pages spell them.
// They are data here, because the project keeps them out of its packages.
//
//go:embed wire.json
var wireText []byte

// wire maps this program's words to the platform's names.
var wire = readWire()

// words are the platform's names of headers and of fields.
type words struct {
	Headers map[string]string `json:"headers"`
	Fields  map[string]string `json:"fields"`
}

func readWire() words {
	var w words
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic("standin: wire.json: " + err.Error())
	}
	return w
}

// header returns the platform's name of a header.
func header(word string) string { return named(wire.Headers, word) }

// field returns the platform's name of a field.
func field(word string) string { return named(wire.Fields, word) }

func named(names map[string]string, word string) string {
	name, ok := names[word]
	if !ok {
		panic("standin: wire.json has no name for " + word)
	}
	return name
}
