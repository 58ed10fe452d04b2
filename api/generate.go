// Package api holds the OpenAPI documents of the project's HTTP interfaces.
//
// The Go code generated from them is committed in the sub-packages, so that a
// build needs no generator. Run go generate after a change to a document.
package api

//go:generate ogen --target callerapi --package callerapi --clean caller.yaml
//go:generate ogen --target operatorapi --package operatorapi --clean operator.yaml
//go:generate ogen --target platformapi --package platformapi --clean platform.yaml
