package waxwingwall

// maxExcerptBytes limits the length of an excerpt, so that a text of another party does
// not fill the log.
const maxExcerptBytes = 160

// Excerpt returns the start of a text of another party, for a log line or an error. A
// shortened text ends with "...".
func Excerpt(text string) string {
	if len(text) <= maxExcerptBytes {
		return text
	}
	return text[:maxExcerptBytes] + "..."
}
