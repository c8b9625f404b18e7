// Package prober reads the health and load pages of upstreams at a bounded rate.
// The pages may be outdated or wrong, so that what they say is only a hint.
package prober
