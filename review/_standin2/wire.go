package main

import (
	_ "embed" // for wire.json
	"encoding/json"
)

// wireText holds the platform's names of headers and fields as its pages spell them. They are
// data here, because the project keeps them out of its Go code.
//
//go:embed wire.json
var wireText []byte

// wire maps this program's words to the platform's names.
var wire = readWire()

func readWire() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireText, &names); err != nil {
		panic("standin2: wire.json: " + err.Error())
	}
	return names
}
