package invoke

import (
	"errors"
	"fmt"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"kitefall/internal/balancer"
	"kitefall/internal/call"
	"kitefall/internal/tomlfile"
)

// maxLifetime is the longest lifetime that an operator may allow a deferred invocation.
const maxLifetime = 30 * 24 * time.Hour

// ReadConfig reads the operator's file and validates it against the classes and tenants of the settings. The error
// joins one for each setting that cannot work, with its line.
func ReadConfig(path string, settings balancer.Settings) (*Config, error) {
	return CheckConfig(path, settings, true)
}

// CheckConfig is ReadConfig, also for where the settings are not known: classes and tenants are not validated then.
func CheckConfig(path string, settings balancer.Settings, settingsKnown bool) (*Config, error) {
	config, file, err := read(path)
	if err != nil {
		return nil, err
	}
	v := &configValidator{
		file:          file,
		settingsKnown: settingsKnown,
		classes:       map[string]balancer.Class{},
		tenants:       map[string]bool{},
	}
	for _, class := range settings.Classes {
		v.classes[class.Name] = class
	}
	for _, tenant := range settings.Tenants {
		v.tenants[tenant.Name] = true
	}
	v.checkServer(config)
	v.checkTenants(config)
	for name, function := range config.Functions {
		v.checkFunction(name, function)
	}
	v.checkDeferred(&config.Deferred, settings)
	if err := errors.Join(v.errs...); err != nil {
		return nil, err
	}
	return config, nil
}

// configValidator collects what is wrong with an operator's file, and completes the configuration where that depends on
// the settings.
type configValidator struct {
	file          *tomlfile.File
	settingsKnown bool
	classes       map[string]balancer.Class
	tenants       map[string]bool
	errs          []error
}

// require reports a setting as wrong unless ok.
func (v *configValidator) require(ok bool, complaint string, key ...string) {
	if !ok {
		v.errs = append(v.errs, v.file.Errorf(complaint, key...))
	}
}

func (v *configValidator) checkServer(c *Config) {
	v.require(c.Listen != "", "is missing", "listen")
	v.require(c.WorkloadAPI != "", "is missing", "workload_api")
	v.require(c.Store != "", "is missing", "store")
	v.require(c.Retention > 0, "has to be above 0", "retention")
	v.require(c.MaxWait >= 0, "has to be 0 or more", "most_wait")
	v.require(c.MaxInFlight >= 1, "has to be at least 1", "most_open")
	v.require(c.MaxInvocations >= 1, "has to be at least 1", "most_tickets")
	v.require(c.MaxConns >= 1, "has to be at least 1", "connections")
}

// checkTenants checks the SPIFFE IDs and their tenants, and parses them. Without tenants in the settings any is
// accepted.
func (v *configValidator) checkTenants(c *Config) {
	for text, tenant := range c.Tenants {
		id, err := spiffeid.FromString(text)
		v.require(err == nil, fmt.Sprintf("is no SPIFFE ID: %v", err), "tenants", text)
		known := len(v.tenants) == 0 || v.tenants[tenant]
		v.require(known, fmt.Sprintf("no tenant %q in the settings", tenant), "tenants", text)
		c.tenantByID[id] = tenant
	}
}

// checkFunction checks an entry of the catalog, after completing it with the defaults and its class's idempotency.
func (v *configValidator) checkFunction(name string, f *Function) {
	class, classKnown := v.classes[f.Class]
	f.idempotent = classKnown && class.Idempotency == balancer.Idempotent
	f.setDefaults()
	require := func(ok bool, complaint, key string) { v.require(ok, complaint, "functions", name, key) }
	require(classKnown || !v.settingsKnown, fmt.Sprintf("no class %q in the settings", f.Class), "class")
	require(call.IsHexID(f.Key), "has to be 16 hex digits, the function's name at the workers", "key")
	require(f.Deadline > 0, "has to be above 0", "deadline")
	require(f.MaxDeadline >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "most_deadline")
	// The balancer takes the longest time left that it has seen in a class for that of a first attempt. One beyond the
	// class's own deadline would make it take first attempts from the other frontend for late retries.
	require(!classKnown || f.MaxDeadline <= class.Deadline,
		fmt.Sprintf("is over the %v of class %s", class.Deadline, f.Class), "most_deadline")
	require(f.Lifetime >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "life")
	require(f.MaxLifetime >= f.Lifetime, fmt.Sprintf("is below the life of %v", f.Lifetime), "most_life")
	require(f.MaxLifetime <= maxLifetime, fmt.Sprintf("is over %v", maxLifetime), "most_life")
	require(f.MaxBody >= 0 && f.MaxBody <= call.MaxBodyBytes,
		fmt.Sprintf("has to be from 0 to %d", call.MaxBodyBytes), "most_body")
}

// checkDeferred derives the scheduler's configuration and checks it.
func (v *configValidator) checkDeferred(d *Deferred, settings balancer.Settings) {
	d.setScheduler(settings)
	err := d.scheduler.Validate()
	if d.DeadRetention <= 0 || d.MaxPerTenant < 0 || d.MaxMBPerTenant < 0 {
		err = errors.Join(err, errors.New("dead_retention has to be above 0, tenant_tickets and tenant_mb 0 or more"))
	}
	if err != nil {
		v.require(false, err.Error(), "deferred")
	}
}
