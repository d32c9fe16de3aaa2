package ibislog

import (
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	samplePeriod     = time.Second
	sampleFirst      = 50
	sampleThereafter = 100
)

// New returns a logger that writes JSON lines at the level (debug, info, warn or error) and above. Of equal messages
// within one second it writes the first 50 and then every hundredth. It fails on an unknown level.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil || parsed > zapcore.ErrorLevel {
		return nil, fmt.Errorf("log level %q: must be debug, info, warn or error", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(zapcore.NewSamplerWithOptions(core, samplePeriod, sampleFirst, sampleThereafter)), nil
}

// WithNode returns a logger that adds the node, its incarnation, region and failure domain to each line.
func WithNode(logger *zap.Logger, member ibisid.Member, place ibisid.Place) *zap.Logger {
	return logger.With(
		zap.String("node", string(member.Name)),
		zap.Uint64("incarnation", uint64(member.Incarnation)),
		zap.String("region", string(place.Region)),
		zap.String("domain", string(place.Domain)),
	)
}
