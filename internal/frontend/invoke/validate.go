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

// maxConfigurableLifetime is the longest value that the operator's file may set for most_life.
const maxConfigurableLifetime = 30 * 24 * time.Hour

// ReadConfig reads the operator's file and validates it against the classes and tenants of the settings. The error joins one
// error for each invalid setting, with its line in the file.
func ReadConfig(path string, settings balancer.Settings) (*Config, error) {
	return CheckConfig(path, settings, true)
}

// CheckConfig is like ReadConfig, but if settingsKnown is false it checks nothing against classes and tenants.
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

// configValidator collects the errors of an operator's file, and sets the fields of the configuration that depend on the
// settings.
type configValidator struct {
	file          *tomlfile.File
	settingsKnown bool
	classes       map[string]balancer.Class
	tenants       map[string]bool
	errs          []error
}

// require records an error for a setting, given by its key, unless ok is true.
func (v *configValidator) require(ok bool, message string, key ...string) {
	if !ok {
		v.errs = append(v.errs, v.file.KeyError(message, key...))
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

// checkTenants validates and parses the SPIFFE IDs, and checks that the settings know their tenants. If the settings list no
// tenants, every tenant is accepted.
func (v *configValidator) checkTenants(c *Config) {
	for idText, tenant := range c.Tenants {
		id, err := spiffeid.FromString(idText)
		v.require(err == nil, fmt.Sprintf("is not a SPIFFE ID: %v", err), "tenants", idText)
		tenantKnown := len(v.tenants) == 0 || v.tenants[tenant]
		v.require(tenantKnown, fmt.Sprintf("no tenant %q in the settings", tenant), "tenants", idText)
		c.tenantByID[id] = tenant
	}
}

// checkFunction sets the defaults and the idempotency of a catalog entry, and then validates the entry.
func (v *configValidator) checkFunction(name string, f *Function) {
	class, classKnown := v.classes[f.Class]
	f.idempotent = classKnown && class.Idempotency == balancer.Idempotent
	f.setDefaults()
	require := func(ok bool, message, key string) { v.require(ok, message, "functions", name, key) }
	require(classKnown || !v.settingsKnown, fmt.Sprintf("no class %q in the settings", f.Class), "class")
	require(call.IsHexID(f.Key), "has to be 16 hex digits, the function's name at the workers", "key")
	require(f.Deadline > 0, "has to be above 0", "deadline")
	require(f.MaxDeadline >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "most_deadline")
	// The balancer assumes that first attempts of a class start with the longest time until the deadline that it has seen in
	// a request of that class. If invocations had more time than the class's own deadline, the balancer would take first
	// attempts from the other frontend for late retries.
	require(!classKnown || f.MaxDeadline <= class.Deadline,
		fmt.Sprintf("exceeds the deadline of %v of class %s", class.Deadline, f.Class), "most_deadline")
	require(f.Lifetime >= f.Deadline, fmt.Sprintf("is below the deadline of %v", f.Deadline), "life")
	require(f.MaxLifetime >= f.Lifetime, fmt.Sprintf("is below the life of %v", f.Lifetime), "most_life")
	require(f.MaxLifetime <= maxConfigurableLifetime, fmt.Sprintf("exceeds the maximum of %v", maxConfigurableLifetime), "most_life")
	require(f.MaxBody >= 0 && f.MaxBody <= call.MaxBodyBytes,
		fmt.Sprintf("has to be from 0 to %d", call.MaxBodyBytes), "most_body")
}

// checkDeferred derives the scheduler's configuration and validates it, together with the limits of the store.
func (v *configValidator) checkDeferred(d *Deferred, settings balancer.Settings) {
	d.setSchedulerConfig(settings)
	err := d.schedulerConfig.Validate()
	if d.DeadLetterRetention <= 0 || d.MaxPerTenant < 0 || d.MaxMiBPerTenant < 0 {
		err = errors.Join(err, errors.New("dead_retention has to be above 0, tenant_tickets and tenant_mb 0 or more"))
	}
	if err != nil {
		v.require(false, err.Error(), "deferred")
	}
}
