package spans

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestValuesAreSplitAtAnyDepth(t *testing.T) {
	deep := strings.Repeat("[", 200000) + strings.Repeat("]", 200000)
	members, err := Object([]byte(`{"a" : [1, {"x":"]\"}"}, ` + deep + `, nul] , "b":-1e400,"c":"\\", "a\u0062":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"b": "-1e400", "c": `"\\"`, "ab": "{}"} {
		if got := string(members[name]); got != want {
			t.Errorf("member %s = %s, want %s", name, got, want)
		}
	}
	elements, err := Array(members["a"])
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(elements), 4; got != want {
		t.Fatalf("elements = %d, want %d", got, want)
	}
	for i, want := range []string{"1", `{"x":"]\"}"}`, deep, "nul"} {
		if got := string(elements[i]); got != want {
			t.Errorf("element %d has %d bytes, want %d", i, len(got), len(want))
		}
	}
}

func TestTextThatCannotBeSplitIsAnError(t *testing.T) {
	for _, text := range []string{``, `7`, `[`, `[1`, `[1,`, `[1,]`, `[1 2]`, `["a`, `["a\`, `[{]`, `[[1]`, `[]]`, `[1]x`, `[,1]`} {
		if elements, err := Array([]byte(text)); err == nil {
			t.Errorf("Array(%s) = %s, want an error", text, elements)
		}
	}
	for _, text := range []string{``, `[]`, `{`, `{"a"}`, `{"a":}`, `{"a":1`, `{"a":1,}`, `{"a":1 "b":2}`, `{a:1}`, `{"a":1}}`, `{"a":1}x`, `{:1}`, `{"a"1}`} {
		if members, err := Object([]byte(text)); err == nil {
			t.Errorf("Object(%s) = %s, want an error", text, members)
		}
	}
}

// What encoding/json accepts is split into the values that it decodes.
func TestSplitAgreesWithDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[\[\]{}",:\\ a1]{0,12}`).Draw(t, "text")
		var list []json.RawMessage
		if json.Unmarshal([]byte(text), &list) == nil && list != nil {
			got, err := Array([]byte(text))
			if err != nil || len(got) != len(list) {
				t.Fatalf("Array(%s) = %s, %v, want %s", text, got, err, list)
			}
			for i := range list {
				if string(got[i]) != string(list[i]) {
					t.Fatalf("Array(%s) = %s, want %s", text, got, list)
				}
			}
		}
		var object map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &object) == nil && object != nil {
			got, err := Object([]byte(text))
			if err != nil || len(got) != len(object) {
				t.Fatalf("Object(%s) = %s, %v, want %s", text, got, err, object)
			}
		}
	})
}
