package cli

import "fmt"

// quotaReason says in a sentence why an organisation's quota refused a request, and when its caller may come
// back; empty if it did not.
func quotaReason(request logEntry) string {
	cost, ok := request.fields["cost"].(float64)
	if status, _ := request.fields["status"].(float64); !ok || status != 429 {
		return ""
	}
	text := fmt.Sprintf("request %s was refused by the quota of %s: it costs %.0f, the balance was %.0f", request.stringField("request"),
		request.stringField("organisation"), cost, request.number("balance"))
	if _, priced := request.fields["price"]; priced {
		text += fmt.Sprintf(", the price %.0f, its draw %.2f", request.number("price"), request.number("draw"))
	}
	if share := request.number("share"); share < 1 {
		text += fmt.Sprintf("; the scheduler decided on %.2f of the quota", share)
	}
	switch final, _ := request.fields["final"].(bool); {
	case final:
		return text + "; there was no room within a third of the time that its caller had left"
	case request.number("booked_ms") > 0:
		return text + fmt.Sprintf("; its cost was booked for %.0f ms later", request.number("booked_ms"))
	}
	return text + fmt.Sprintf("; its caller was told to come back after %.0f ms, without a booking", request.number("retry_ms"))
}
