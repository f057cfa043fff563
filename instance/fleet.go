package instance

import "github.com/sardinedock/sardinedock/place"

// placer returns what places requests.
func (i *Instance) placer() place.Placer { return place.Static{} }
