package routing

import "fmt"

// FieldError names the field that makes a configuration invalid.
type FieldError struct {
	Field   string
	Problem string
}

func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// Check returns the first of Errors, or nil.
func (c *Config) Check() error {
	if errs := c.Errors(); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// Errors returns all errors that make the configuration invalid.
func (c *Config) Errors() (errs []*FieldError) {
	services := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			errs = append(errs, &FieldError{fmt.Sprintf("services[%d].name", i), "is missing"})
		}
		services[s.Name] = true
	}
	seen := map[string]bool{}
	for i := range c.Routes {
		errs = append(errs, c.Routes[i].errors(fmt.Sprintf("routes[%d]", i), services, seen)...)
	}
	return append(errs, c.keyErrors()...)
}

func (r *Route) errors(field string, services, seen map[string]bool) (errs []*FieldError) {
	key := r.Host + " " + r.Prefix
	if seen[key] {
		errs = append(errs, &FieldError{field + ".prefix", fmt.Sprintf("%q stands twice for host %q", r.Prefix, r.Host)})
	}
	seen[key] = true
	if r.Timeout <= 0 {
		errs = append(errs, &FieldError{field + ".timeout", "must be above 0"})
	}
	sum, negative := 0.0, false
	for _, t := range r.Targets {
		if !services[t.Service] {
			errs = append(errs, &FieldError{field + ".service", fmt.Sprintf("names the unknown service %q", t.Service)})
		}
		if t.Weight < 0 {
			errs = append(errs, &FieldError{field + ".weight", "must not be negative"})
			negative = true
		}
		sum += t.Weight
	}
	if sum <= 0 && !negative {
		errs = append(errs, &FieldError{field + ".weight", "the weights add up to 0"})
	}
	return errs
}

func (c *Config) keyErrors() (errs []*FieldError) {
	owners := map[string]string{}
	for i, w := range c.Workspaces {
		for _, key := range w.Keys {
			if other, ok := owners[key]; ok && other != w.Name {
				errs = append(errs, &FieldError{fmt.Sprintf("workspaces[%d].keys", i), fmt.Sprintf("shares a key with workspace %q", other)})
			}
			owners[key] = w.Name
		}
	}
	return errs
}
