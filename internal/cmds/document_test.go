package cmds

import "testing"

func FuzzParseDocuments(f *testing.F) {
	f.Add("kind: template\nname: t\narchives: [a]\nidempotent: true\n---\nkind: workspace\n")
	f.Add("kind: [")
	f.Add("---\n---\n")
	f.Fuzz(func(t *testing.T, text string) {
		docs, err := parseDocuments("f.yaml", []byte(text))
		if err == nil && len(docs) == 0 {
			t.Error("parseDocuments() accepted a file without objects")
		}
	})
}
