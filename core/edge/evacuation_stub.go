package edge

// evacuating reports whether a failure domain is to be emptied of requests.
func (e *Edge) evacuating() bool {
	return false
}
