package ibismodel

import (
	"errors"
	"fmt"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
)

// MaxServers is the greatest number of backend servers of one model.
const MaxServers = 24_000

// checker collects what is wrong with a configuration.
type checker struct {
	faults []error
}

func (c *checker) that(ok bool, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, fmt.Errorf(format, args...))
	}
}

func (c *checker) share(name string, value float64) {
	c.that(value >= 0 && value <= 1, "%s %v: must be a share from 0 to 1", name, value)
}

// Validate names every field that can't be used, and what is allowed.
func (c Config) Validate() error {
	var k checker
	k.that(c.Fleet.Regions >= 1, "fleet.regions %d: must be 1 or more", c.Fleet.Regions)
	k.that(c.Fleet.DomainsPerRegion >= 1, "fleet.domainsPerRegion %d: must be 1 or more", c.Fleet.DomainsPerRegion)
	k.that(c.Fleet.MegabitsPerSecond >= 0, "fleet.megabitsPerSecond %v: must not be negative", c.Fleet.MegabitsPerSecond)
	k.that(c.Duration.Duration > c.Warmup.Duration, "duration %s: must be longer than warmup, %s", c.Duration, c.Warmup)
	services, classes := c.checkServices(&k), ibisset.Of[ibisid.ClassName]()
	for _, class := range c.Classes {
		k.that(class.Name != "" && !classes.Has(class.Name), "classes %q: must have a name of its own", class.Name)
		classes.Add(class.Name)
	}
	for _, class := range c.Classes {
		class.check(&k, services, classes)
	}
	k.that(len(c.Classes) > 0, "classes: must not be empty")
	for i, s := range c.Surges {
		name := fmt.Sprintf("surges[%d]", i)
		k.that(s.Factor >= 0, "%s.factor %v: must not be negative", name, s.Factor)
		k.that(s.For.Duration > 0, "%s.for: must be above zero", name)
		k.that(s.Class == "" || classes.Has(s.Class), "%s.class %q: is no class", name, s.Class)
		k.that(s.Region >= 0 && s.Region <= c.Fleet.Regions, "%s.region %d: must be from 0 to %d", name, s.Region, c.Fleet.Regions)
	}
	k.share("keys.hotShare", c.Keys.HotShare)
	k.share("keys.hotWidth", c.Keys.HotWidth)
	k.share("callers.impatient", c.Callers.Impatient)
	k.share("callers.giveUp", c.Callers.GiveUp)
	k.share("callers.deadlineSpread", c.Callers.DeadlineSpread)
	for i, f := range c.Faults {
		f.check(&k, fmt.Sprintf("faults[%d]", i), services, c.Fleet.Regions)
	}
	return errors.Join(k.faults...)
}

func (c Config) checkServices(k *checker) ibisset.Set[ibisid.ServiceName] {
	known := ibisset.Of[ibisid.ServiceName]()
	total := 0
	for _, s := range c.Services {
		name := fmt.Sprintf("services %q", s.Name)
		k.that(s.Name != "" && !known.Has(s.Name), "%s: must have a name of its own", name)
		known.Add(s.Name)
		total += s.Servers
		k.that(s.Servers >= 1, "%s.servers %d: must be 1 or more", name, s.Servers)
		k.that(s.Slots >= 1, "%s.slots %d: must be 1 or more", name, s.Slots)
		k.that(s.Queue >= 0, "%s.queue %d: must not be negative", name, s.Queue)
		k.that(s.SpeedSpread >= 0 && s.SpeedSpread < 1, "%s.speedSpread %v: must be from 0 to below 1", name, s.SpeedSpread)
		k.that(s.SlowNearFull >= 0, "%s.slowNearFull %v: must not be negative", name, s.SlowNearFull)
		k.that(s.NoiseEvery.Duration == 0 || s.NoiseFor.Duration > 0 && s.NoiseFactor >= 1, "%s.noiseFor, noiseFactor: must be above zero and 1 or more where noiseEvery is given", name)
		k.that(s.ColdFor.Duration == 0 || s.ColdFactor >= 1 && s.ColdPerSecond >= 1, "%s.coldFactor, coldPerSecond: must be 1 or more where coldFor is given", name)
	}
	k.that(total >= 1 && total <= MaxServers, "services: have %d servers together, must be from 1 to %d", total, MaxServers)
	return known
}

func (c Class) check(k *checker, services ibisset.Set[ibisid.ServiceName], classes ibisset.Set[ibisid.ClassName]) {
	name := fmt.Sprintf("classes %q", c.Name)
	k.that(services.Has(c.Service), "%s.service %q: is no service", name, c.Service)
	k.that(c.PerSecond >= 0, "%s.perSecond %v: must not be negative", name, c.PerSecond)
	k.that(c.Work.Duration > 0, "%s.work: must be above zero", name)
	k.that(c.Target.Duration > 0 && c.Target.Duration <= c.Deadline.Duration, "%s.target %s: must be above zero and at most the deadline, %s", name, c.Target, c.Deadline)
	k.that(c.Late <= c.Worth && c.Late >= 0, "%s.late %v: must be from 0 to the worth, %v", name, c.Late, c.Worth)
	k.that(c.Retries >= 0, "%s.retries %d: must not be negative", name, c.Retries)
	k.that(c.MaxAttempts >= 0, "%s.maxAttempts %d: must not be negative", name, c.MaxAttempts)
	k.that(c.AnswerBytes >= 0, "%s.answerBytes %d: must not be negative", name, c.AnswerBytes)
	k.that(c.Calls == "" || classes.Has(c.Calls) && c.Calls != c.Name, "%s.calls %q: is no other class", name, c.Calls)
	k.share(name+".callShare", c.CallShare)
}

func (f Fault) check(k *checker, name string, services ibisset.Set[ibisid.ServiceName], regions int) {
	k.that(f.For.Duration > 0, "%s.for: must be above zero", name)
	k.that(f.Service == "" || services.Has(f.Service), "%s.service %q: is no service", name, f.Service)
	k.share(name+".share", f.Share)
	switch f.Kind {
	case FaultSlow:
		k.that(f.Factor >= 1, "%s.factor %v: must be 1 or more", name, f.Factor)
	case FaultGrey:
		k.share(name+".factor", f.Factor)
	case FaultRegion:
		k.that(f.Region >= 1 && f.Region <= regions, "%s.region %d: must be from 1 to %d", name, f.Region, regions)
	case FaultCrash, FaultCold, FaultLying:
	default:
		k.that(false, "%s.kind %q: must be slow, crash, cold, grey, region or lying", name, f.Kind)
	}
}
