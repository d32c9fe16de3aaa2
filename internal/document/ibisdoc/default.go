package ibisdoc

import "time"

const (
	defaultSlots        = 1024
	defaultRetention    = 24 * time.Hour
	defaultLongestOrder = 10 * time.Second
	defaultColdStart    = 10 * time.Second
	defaultRampUp       = 30 * time.Second
	defaultDeadline     = 5 * time.Second
	defaultShare        = 1.0
	defaultQueueLength  = 32
	defaultMaxBodyBytes = 1 << 20
	defaultTenantWeight = 1
	maxBodyLimitBytes   = 1 << 40
	maxRetention        = defaultRetention
	maxRequestDeadline  = time.Hour
)

func (s Service) withDefaults() Service {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	setDefault(&s.Retention, defaultRetention)
	setDefault(&s.LongestOrder, defaultLongestOrder)
	setDefault(&s.ColdStart, defaultColdStart)
	return s
}

func (c Class) withDefaults() Class {
	setDefault(&c.Deadline, defaultDeadline)
	if c.Share == 0 {
		c.Share = defaultShare
	}
	if c.QueueLength == 0 {
		c.QueueLength = defaultQueueLength
	}
	return c
}

func (r Route) withDefaults() Route {
	if r.MaxBody == 0 {
		r.MaxBody = defaultMaxBodyBytes
	}
	return r
}

func setDefault(d *Duration, value time.Duration) {
	if d.Duration == 0 {
		d.Duration = value
	}
}
