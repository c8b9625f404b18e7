package watcher

import (
	"slices"
	"time"

	"cornelwood.example/internal/control/spreader"
)

// maxContacts bounds the contacts that a daemon carries along.
const maxContacts = 3

// maxContactAge is the age at which a contact is forgotten.
const maxContactAge = 10 * time.Minute

// Contacts knows which daemons reached the platform last. It is not safe for
// concurrent use.
type Contacts struct {
	seen []contact
}

type contact struct {
	id string
	at time.Time
}

// Record records that a daemon reached the platform at a time.
func (c *Contacts) Record(id string, at time.Time) {
	i := slices.IndexFunc(c.seen, func(s contact) bool { return s.id == id })
	switch {
	case i < 0:
		c.seen = append(c.seen, contact{id: id, at: at})
	case at.After(c.seen[i].at):
		c.seen[i].at = at
	}
	slices.SortFunc(c.seen, func(a, b contact) int { return b.at.Compare(a.at) })
	if len(c.seen) > maxContacts {
		c.seen = c.seen[:maxContacts]
	}
}

// Merge notes the contacts that a peer told.
func (c *Contacts) Merge(now time.Time, told []spreader.Contact) {
	for _, t := range told {
		if t.Age < maxContactAge {
			c.Record(t.ID, now.Add(-t.Age))
		}
	}
}

// Export returns the contacts for a peer.
func (c *Contacts) Export(now time.Time) []spreader.Contact {
	var told []spreader.Contact
	for _, s := range c.seen {
		if age := now.Sub(s.at); age < maxContactAge {
			told = append(told, spreader.Contact{ID: s.id, Age: max(age, 0)})
		}
	}
	return told
}

// Last returns when a daemon other than except last reached the platform, and
// false when none is known to have.
func (c *Contacts) Last(except string) (time.Time, bool) {
	for _, s := range c.seen {
		if s.id != except {
			return s.at, true
		}
	}
	return time.Time{}, false
}
