package ibisretry

// budget holds tokens for extra attempts. Each success adds perSuccess tokens, up to burst.
type budget struct {
	perSuccess float64
	burst      float64
	tokens     float64
}

func (b *budget) deposit() { b.tokens = min(b.burst, b.tokens+b.perSuccess) }

func (b *budget) empty() bool { return b.tokens < 1 }

func (b *budget) withdraw() { b.tokens-- }
