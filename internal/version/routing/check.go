package routing

import "fmt"

// FieldError names the field that makes a configuration invalid.
type FieldError struct {
	Field   string
	Problem string
}

func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// Check returns a *FieldError if the configuration is invalid.
func (c *Config) Check() error {
	services := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			return &FieldError{fmt.Sprintf("services[%d].name", i), "is missing"}
		}
		services[s.Name] = true
	}
	seen := map[string]bool{}
	for i := range c.Routes {
		if err := c.Routes[i].check(fmt.Sprintf("routes[%d]", i), services, seen); err != nil {
			return err
		}
	}
	return c.checkKeys()
}

func (r *Route) check(field string, services, seen map[string]bool) error {
	key := r.Host + " " + r.Prefix
	switch {
	case seen[key]:
		return &FieldError{field + ".prefix", fmt.Sprintf("%q stands twice for host %q", r.Prefix, r.Host)}
	case r.Timeout <= 0:
		return &FieldError{field + ".timeout", "must be above 0"}
	}
	seen[key] = true
	sum := 0.0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return &FieldError{field + ".service", fmt.Sprintf("names the unknown service %q", t.Service)}
		}
		if t.Weight < 0 {
			return &FieldError{field + ".weight", "must not be negative"}
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return &FieldError{field + ".weight", "the weights add up to 0"}
	}
	return nil
}

func (c *Config) checkKeys() error {
	owners := map[string]string{}
	for i, w := range c.Workspaces {
		for _, key := range w.Keys {
			if other, ok := owners[key]; ok && other != w.Name {
				return &FieldError{fmt.Sprintf("workspaces[%d].keys", i), fmt.Sprintf("shares a key with workspace %q", other)}
			}
			owners[key] = w.Name
		}
	}
	return nil
}
