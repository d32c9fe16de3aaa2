package ibisduration

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a non-negative time span represented as text, such as "250ms" or "24h".
type Duration struct {
	time.Duration
}

// MarshalJSON encodes the duration as a JSON string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a JSON string; it fails if the string is not a duration or is negative.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s: must be a duration from zero up, such as \"250ms\" or \"24h\"", data)
	}
	return d.UnmarshalText([]byte(text))
}

// UnmarshalText parses the value of a flag or an environment variable; it fails if it is not a duration or is negative.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := Parse(string(text))
	if err != nil {
		return err
	}
	*d = span
	return nil
}

// Parse parses a duration; it fails if the text is not a duration or is negative.
func Parse(text string) (Duration, error) {
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		return Duration{}, fmt.Errorf("%q: must be a duration from zero up, such as \"250ms\" or \"24h\"", text)
	}
	return Duration{
		Duration: span,
	}, nil
}
