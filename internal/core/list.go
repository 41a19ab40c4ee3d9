package core

import (
	"beechgrade"
	"beechgrade/internal/clock"
	"beechgrade/internal/discovery"
)

// ListReceived implements discovery.Events.
func (c *Core) ListReceived(l *discovery.List) {
	kind := beechgrade.ListChanges
	if l.Complete {
		kind = beechgrade.ListFull
	}
	c.applyList(l, kind)
}

// ListFailed implements discovery.Events.
func (c *Core) ListFailed() { c.deliver(&beechgrade.List{Kind: beechgrade.ListFailed}) }

// applyList delivers a server list to the router and updates the servers' addresses and states.
func (c *Core) applyList(list *discovery.List, kind beechgrade.ListKind) {
	event, now := &beechgrade.List{Kind: kind}, c.loop.Now()
	listed := map[string]bool{}
	for i := range list.Instances {
		instance := &list.Instances[i]
		if instance.ID == "" {
			continue
		}
		entry := beechgrade.Entry{Server: beechgrade.ServerID(instance.ID), Group: instance.Group,
			MachineType: c.machineTypeNumbers.number(instance.MachineType), Zone: c.zoneNumbers.number(instance.Zone),
			Weight: instance.Weight, Primary: instance.Role == "primary"}
		if instance.StartedAtMs > 0 {
			// A start time in the future, from a wrong clock, would keep the server cold indefinitely.
			entry.StartedAt = clock.Duration(min(clock.FromUnix(instance.StartedAtMs), now))
		}
		switch instance.Lifecycle {
		case "draining":
			entry.State = beechgrade.Draining
		case "removed":
			entry.State = beechgrade.Removed
		}
		listed[instance.ID] = true
		if instance.HostPort != "" {
			c.servers.SetAddress(instance.ID, instance.HostPort)
		}
		event.Entries = append(event.Entries, entry)
	}
	c.log.Debug("list", "kind", kind, "generation", list.Generation, "entries", len(event.Entries))
	c.deliver(event)
	for i := range event.Entries { // attempts in flight at a drained or removed server continue
		switch id := string(event.Entries[i].Server); {
		case event.Entries[i].State == beechgrade.Removed && !c.cfg.Settings.SoftRemoval:
			c.servers.Remove(id)
		case event.Entries[i].State != beechgrade.Serving:
			c.servers.Drain(id)
		}
	}
	// With SoftRemoval, a server that is missing from the list may still serve.
	if kind != beechgrade.ListChanges && !c.cfg.Settings.SoftRemoval {
		c.servers.RemoveExcept(listed)
	}
}

// numbering assigns numbers to names. Names that are not in the settings are numbered after those that are.
type numbering map[string]int

func newNumbering(names []string) numbering {
	n := numbering{}
	for _, name := range names {
		n.number(name)
	}
	return n
}

// number returns the number of a name, and assigns the next one to a new name.
func (n numbering) number(name string) int {
	i, ok := n[name]
	if !ok {
		i = len(n)
		n[name] = i
	}
	return i
}
