package gossip

import (
	"os"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

func TestMain(m *testing.M) {
	log.SetHandler(discard.New())
	os.Exit(m.Run())
}
