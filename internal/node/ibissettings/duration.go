package ibissettings

import "github.com/ibisridge/ibisridge/internal/base/ibisduration"

// Duration is a duration that is written as text, such as "250ms" or "24h".
type Duration = ibisduration.Duration
