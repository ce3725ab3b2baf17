package main

import (
	"encoding/json"
	"os"

	"github.com/gravitational/trace"
)

const fileMode = 0o600

func writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(name, append(data, '\n'), fileMode), "writing %s", name)
}

func readJSON(name string, value any) error {
	data, err := os.ReadFile(name) // #nosec G304 -- the operator names the file
	if err != nil {
		return trace.Wrap(err, "reading %s", name)
	}
	return trace.Wrap(json.Unmarshal(data, value), "reading %s", name)
}
