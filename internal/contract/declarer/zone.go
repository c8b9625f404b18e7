package declarer

// maxGroups bounds the number of owner groups of a zone.
const maxGroups = 4096

// Zone declares one availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Groups is the number of owner groups that the zone's daemons form.
	Groups int `json:"groups"`
	// Out is true while operators have taken the zone out of service.
	Out bool `json:"out,omitempty"`
}

// Check validates the zone. It returns every invalid field as joined FieldErrors, or nil.
func (z *Zone) Check() error {
	var f validationErrors
	checkName(&f, "name", z.Name)
	checkName(&f, "region", z.Region)
	if z.Groups < 1 || z.Groups > maxGroups {
		f.addf("groups", "want 1 to %d, got %d", maxGroups, z.Groups)
	}
	return f.join()
}
