package endpoint

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// endingProcess accepts connections until its listener is closed.
type endingProcess struct{ closed time.Time }

func (p endingProcess) Probe(context.Context) error {
	if time.Now().Before(p.closed) {
		return nil
	}
	return errors.New("connection refused")
}

// Guards against crashes that are mistaken for broken connections, since the listener of a process that ends
// outlives its connections by some ms.
func TestProcessThatClosesItsListenerLastHasCrashed(t *testing.T) {
	for _, c := range []struct {
		name    string
		outlive time.Duration
		crashed bool
	}{
		{"listener closed first", 0, true},
		{"listener closed 30 ms later", 30 * time.Millisecond, true},
		{"a process that lives", time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				err := ProbeCrash(t.Context(), endingProcess{time.Now().Add(c.outlive)})
				if crashed := err != nil; crashed != c.crashed {
					t.Errorf("crashed %v (%v), want %v", crashed, err, c.crashed)
				}
			})
		})
	}
}
