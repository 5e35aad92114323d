package catalog

import (
	"errors"
	"fmt"
)

// ErrInvalid is wrapped by every error of Validate.
var ErrInvalid = errors.New("the catalog is invalid")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Validate returns the first fault of the catalog, or nil.
func (c *Catalog) Validate() error {
	if c.Version == 0 {
		return invalid("version is missing")
	}
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" {
			return invalid("a service has no name")
		}
		if services[s.Name] {
			return invalid("service %q is declared twice", s.Name)
		}
		services[s.Name] = true
	}
	if err := c.validateRoutes(services); err != nil {
		return err
	}
	return c.validateCustomers()
}

func (c *Catalog) validateRoutes(services map[string]bool) error {
	type hostPrefix struct{ host, prefix string }
	owners := make(map[hostPrefix]string, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		key := hostPrefix{r.Host, r.Prefix}
		if other, taken := owners[key]; taken {
			return invalid("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		owners[key] = r.Name
		if err := r.validate(services); err != nil {
			return err
		}
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	if r.Timeout <= 0 {
		return invalid("route %q: the timeout must be positive", r.Name)
	}
	total := 0
	for _, s := range r.Splits {
		if !services[s.Service] {
			return invalid("route %q names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return invalid("route %q: the weight of %q is negative", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("route %q: the weights add up to 0", r.Name)
	}
	return nil
}

func (c *Catalog) validateCustomers() error {
	owners := make(map[string]string)
	names := make(map[string]bool, len(c.Customers))
	for _, customer := range c.Customers {
		if customer.Name == "" || names[customer.Name] {
			return invalid("customer %q has no name or is declared twice", customer.Name)
		}
		names[customer.Name] = true
		for _, key := range customer.Keys {
			if other, taken := owners[key]; taken && other != customer.Name {
				return invalid("customers %q and %q share a key", other, customer.Name)
			}
			owners[key] = customer.Name
		}
	}
	return nil
}
