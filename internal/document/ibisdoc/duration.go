package ibisdoc

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time span that the document writes as text, such as "250ms" or "24h".
type Duration struct {
	time.Duration
}

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads the duration from text; it fails where the text is no duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is a text such as \"250ms\": %w", err)
	}
	span, err := parseDuration(text)
	if err != nil {
		return err
	}
	*d = span
	return nil
}

func parseDuration(text string) (Duration, error) {
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		return Duration{}, fmt.Errorf("a duration from zero up is a text such as \"250ms\" or \"24h\"")
	}
	return Duration{Duration: span}, nil
}
