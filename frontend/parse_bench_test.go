package frontend

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sardinedock/sardinedock/prefix"
)

// BenchmarkBody measures the steps that process the bytes of a long prompt: parsing the
// fields, extracting the text, computing the prefix blocks, and encoding the body for the
// engine.
func BenchmarkBody(b *testing.B) {
	long := strings.Repeat("M12 anchor, grade 8.8; ", 17400)
	bodies := map[string]string{
		"prompt": fmt.Sprintf(`{"model":"counter","prompt":%q,"max_tokens":1,"stream":true}`, long),
		"chat":   fmt.Sprintf(`{"model":"counter","messages":[{"role":"user","content":%q}],"max_tokens":1,"stream":true}`, long),
	}
	for name, body := range bodies {
		steps := map[string]func(fields){
			"parse":  func(fields) { _, _ = parseFields([]byte(body)) },
			"text":   func(f fields) { _ = f.text(name == "chat") },
			"blocks": func(f fields) { _ = prefix.Blocks(nil, prefix.Hash{}, []byte(long), 64) },
			"encode": func(f fields) { _ = f.encode() },
		}
		for step, do := range steps {
			b.Run(name+"/"+step, func(b *testing.B) {
				f, err := parseFields([]byte(body))
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(body)))
				for range b.N {
					do(f)
				}
			})
		}
	}
}
