package formatter

import (
	"testing"
	"time"
)

func TestFormats(t *testing.T) {
	tests := []struct{ name, got, want string }{
		{"share of 1", Percent(1), "100%"},
		{"just below 1", Percent(0.99996), "99.996%"},
		{"rounds to 100 with 4 digits", Percent(0.9999999), "99.9999%"},
		{"rate below the lowest shown", Rate(0.001), "<0.01"},
		{"small rate", Rate(0.5), "0.50"},
		{"high rate", Rate(14.44), "14.4"},
		{"budget with a binary fraction", Budget(0.29 / 1), "29%"},
		{"budget overspent", Budget(-0.001), "-1%"},
		{"two units", Duration(25*time.Hour + 30*time.Minute), "1 d 1 h"},
		{"below a second", Duration(time.Millisecond), "0 s"},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, tt.got, tt.want)
		}
	}
}
