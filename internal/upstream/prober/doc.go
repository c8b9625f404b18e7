// Package prober reads the health and load pages of upstreams at a bounded rate.
// The pages lag and mislead, so that what they say is a hint.
package prober
