package formatter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestFormats(t *testing.T) {
	tests := []struct{ name, got, want string }{
		{"whole share", Percent(1), "100%"},
		{"target", Percent(0.99), "99%"},
		{"just below 1", Percent(0.99996), "99.996%"},
		{"a hair below 1", Percent(0.9999999), "99.9999%"},
		{"no share", Percent(0), "0%"},
		{"no rate", Rate(0), "0"},
		{"least rate", Rate(0.001), "<0.01"},
		{"small rate", Rate(0.5), "0.50"},
		{"high rate", Rate(14.44), "14.4"},
		{"budget", Budget(0.999), "99%"},
		{"budget with a binary fraction", Budget(0.29 / 1), "29%"},
		{"budget overspent", Budget(-0.001), "-1%"},
		{"two units", Span(25*time.Hour + 30*time.Minute), "1 d 1 h"},
		{"a gap between units", Span(24*time.Hour + 30*time.Minute), "1 d 30 min"},
		{"below a second", Span(time.Millisecond), "0 s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, tt.got); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}
