package watcher

import (
	"slices"
	"time"

	"cornelwood.example/internal/control/spreader"
)

// maxContacts bounds the contacts that a daemon stores and sends to peers.
const maxContacts = 3

// maxContactAge is the age from which a contact is not exchanged between peers.
const maxContactAge = 10 * time.Minute

// Contacts holds the latest contacts of daemons with the platform. It is not safe for
// concurrent use.
type Contacts struct {
	latest []contact
}

// contact is the time of a daemon's last contact with the platform.
type contact struct {
	id string
	at time.Time
}

// Record stores that a daemon reached the platform at a time.
func (c *Contacts) Record(id string, at time.Time) {
	i := slices.IndexFunc(c.latest, func(s contact) bool { return s.id == id })
	switch {
	case i < 0:
		c.latest = append(c.latest, contact{id: id, at: at})
	case at.After(c.latest[i].at):
		c.latest[i].at = at
	}
	slices.SortFunc(c.latest, func(a, b contact) int { return b.at.Compare(a.at) })
	if len(c.latest) > maxContacts {
		c.latest = c.latest[:maxContacts]
	}
}

// Merge records the contacts received from a peer.
func (c *Contacts) Merge(now time.Time, received []spreader.Contact) {
	for _, t := range received {
		if t.Age < maxContactAge {
			c.Record(t.ID, now.Add(-t.Age))
		}
	}
}

// Export returns the contacts to send to a peer.
func (c *Contacts) Export(now time.Time) []spreader.Contact {
	var contacts []spreader.Contact
	for _, s := range c.latest {
		if age := now.Sub(s.at); age < maxContactAge {
			contacts = append(contacts, spreader.Contact{ID: s.id, Age: max(age, 0)})
		}
	}
	return contacts
}

// Last returns when a daemon other than except last reached the platform, and false when
// no such contact is known.
func (c *Contacts) Last(except string) (time.Time, bool) {
	for _, s := range c.latest {
		if s.id != except {
			return s.at, true
		}
	}
	return time.Time{}, false
}
