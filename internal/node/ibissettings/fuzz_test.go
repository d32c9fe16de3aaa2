package ibissettings

import "testing"

// FuzzParse checks that no input makes Parse or Validate panic, and that a rejected input yields a non-empty error.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		`{"name":"helsinki-1","region":"uusimaa","domain":"helsinki-a","platform":"http://127.0.0.1:9000"}`,
		`{"limits":{"headerTimeout":"5s","connections":-1}}`,
		`{"listen":{"callers":"nowhere"}}`,
		`{"unknown":1}`, `{} {}`, `null`, `[`, "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := Parse(text)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("Parse returned an error with an empty message")
			}
			return
		}
		_ = settings.Validate()
	})
}
