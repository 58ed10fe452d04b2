package config

import (
	"waxwingwall/core/config/ini"
)

// The environments of every fleet.
const (
	// Production serves callers.
	Production = "production"

	// Trial is the staging environment for new documents.
	Trial = "trial"
)

// ParseEnvironment parses the name of an environment.
func ParseEnvironment(s string) (string, error) {
	return ini.Name[string](s)
}
