package store

import (
	"encoding/binary"

	"kitefall/internal/durable"
	"kitefall/internal/invocation"
)

// allTenants is the tenant name under which the total usage of all tenants is stored.
const allTenants = ""

// Usage is the number of stored invocations and the total size of their bodies and results.
type Usage struct{ Invocations, Bytes int64 }

func (u Usage) plus(invocations, bytes int64) Usage {
	return Usage{Invocations: u.Invocations + invocations, Bytes: u.Bytes + bytes}
}

// Usage returns the usage of a tenant, or of all tenants together if tenant is empty.
func (s *Store) Usage(tenant string) (usage Usage, err error) {
	err = s.db.View(func(tx *durable.Tx) error {
		usage = usageOf(tx, tenant)
		return nil
	})
	return usage, storageError(err)
}

func usageOf(tx *durable.Tx, tenant string) Usage {
	data := tx.Get(usageBucket, usageKey(tenant))
	if len(data) != usageLength {
		return Usage{}
	}
	return Usage{
		Invocations: int64(binary.BigEndian.Uint64(data)),
		Bytes:       int64(binary.BigEndian.Uint64(data[8:])),
	}
}

func putUsage(tx *durable.Tx, tenant string, usage Usage) {
	data := make([]byte, 0, usageLength)
	data = binary.BigEndian.AppendUint64(data, uint64(usage.Invocations))
	data = binary.BigEndian.AppendUint64(data, uint64(usage.Bytes))
	tx.Put(usageBucket, usageKey(tenant), data)
}

// addUsage adds to the usage of a tenant and to the total of all tenants. The amounts may be negative.
func addUsage(tx *durable.Tx, tenant string, invocations, bytes int64) {
	putUsage(tx, tenant, usageOf(tx, tenant).plus(invocations, bytes))
	putUsage(tx, allTenants, usageOf(tx, allTenants).plus(invocations, bytes))
}

// CheckLimits reports whether a new invocation could be stored now. It fails with ErrStoreFull and ErrQuotaExceeded, as Create
// does.
func (s *Store) CheckLimits(inv *invocation.Invocation) error {
	return storageError(s.db.View(func(tx *durable.Tx) error { return s.checkLimits(tx, inv) }))
}

// checkLimits fails with ErrStoreFull if the store holds MaxInvocations, and with ErrQuotaExceeded if a new invocation would
// exceed a limit of its tenant.
func (s *Store) checkLimits(tx *durable.Tx, inv *invocation.Invocation) error {
	if usageOf(tx, allTenants).Invocations >= s.options.MaxInvocations {
		return invocation.ErrStoreFull
	}
	tenant := usageOf(tx, inv.Tenant)
	maxCount, maxBytes := s.options.MaxPerTenant, s.options.MaxBytesPerTenant
	tooMany := maxCount > 0 && tenant.Invocations >= maxCount
	tooLarge := maxBytes > 0 && tenant.Bytes+inv.Bytes > maxBytes
	if tooMany || tooLarge {
		return invocation.ErrQuotaExceeded
	}
	return nil
}

// admit adds a new invocation to the usage. If checkLimits fails, admit returns its error and adds nothing.
func (s *Store) admit(tx *durable.Tx, inv *invocation.Invocation) error {
	if err := s.checkLimits(tx, inv); err != nil {
		return err
	}
	addUsage(tx, inv.Tenant, 1, inv.Bytes)
	return nil
}
