package cli

import "fmt"

// retryReason says in a sentence why the fleet's retry limit refused to send a request again; empty if it did not.
func retryReason(request logEntry) string {
	if request.stringField("retries") == "" {
		return ""
	}
	text := fmt.Sprintf("request %s was not sent again: %s had sent %.0f retries for %.0f requests in a window and may send %.1f", request.stringField("request"),
		request.stringField("instance"), request.number("window_retries"), request.number("window_requests"), request.number("window_allowed"))
	if request.stringField("retry_limit") == "recent start" {
		text += "; its process had not run for a window yet"
	}
	return text
}
