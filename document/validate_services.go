package document

import (
	"fmt"
	"net/http"
	"path"
	"sort"
	"strings"
)

// reservedPrefix is the prefix of the paths that entry VMs serve themselves.
const reservedPrefix = "/v1"

var knownMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true,
	http.MethodPut: true, http.MethodPatch: true, http.MethodDelete: true,
}

func validateServices(c *checker, services []Service, regions map[string]bool) map[string]bool {
	c.notEmpty("services", len(services))
	names, prefixes := map[string]bool{}, map[string]bool{}
	for i, s := range services {
		field := fmt.Sprintf("services[%d]", i)
		c.name(field+".name", s.Name)
		c.unique(field+".name", s.Name, names)
		c.positive(field+".slots_per_upstream", float64(s.SlotsPerUpstream))
		c.positive(field+".connections_per_upstream", float64(s.ConnectionsPerUpstream))
		if s.ConnectionsPerUpstream < s.SlotsPerUpstream {
			c.add(field+".connections_per_upstream", "must be at least slots_per_upstream (%d)", s.SlotsPerUpstream)
		}
		validateRegionCapacity(c, field+".region_capacity", s.RegionCapacity, regions)
		validateRoutes(c, field, s.Routes, prefixes)
	}
	return names
}

func validateRegionCapacity(c *checker, field string, capacity map[string]float64, regions map[string]bool) {
	c.notEmpty(field, len(capacity))
	for _, region := range sortedKeys(capacity) {
		c.known(field+"."+region, "region", region, regions)
		c.positive(field+"."+region, capacity[region])
	}
}

func validateRoutes(c *checker, field string, routes []Route, prefixes map[string]bool) {
	c.notEmpty(field+".routes", len(routes))
	for i, r := range routes {
		routeField := fmt.Sprintf("%s.routes[%d]", field, i)
		validatePrefix(c, routeField+".prefix", r.Prefix)
		c.unique(routeField+".prefix", r.Prefix, prefixes)
		validateMethods(c, routeField, r.Methods)
		if r.Mode != ModeDirect && r.Mode != ModeDeferred {
			c.add(routeField+".mode", "%q is not a valid mode: use direct or deferred", r.Mode)
		}
		if r.Public && r.Mode == ModeDeferred {
			c.add(routeField+".mode", "a public route cannot be deferred: its result would belong to no customer")
		}
		if r.Public && !r.Idempotent {
			c.add(routeField+".public", "a public route must be idempotent: its requests have no customer for which to record an outcome")
		}
		if r.DeadlineMS > MaxDeadlineMS {
			c.add(routeField+".deadline_ms", "%d is above the longest deadline, %d", r.DeadlineMS, MaxDeadlineMS)
		}
		if r.MaxBodyBytes > MaxBodyBytesLimit {
			c.add(routeField+".max_body_bytes", "%d is above the largest body, %d", r.MaxBodyBytes, MaxBodyBytesLimit)
		}
	}
}

func validatePrefix(c *checker, field, prefix string) {
	if !strings.HasPrefix(prefix, "/") || path.Clean(prefix) != prefix || strings.ContainsAny(prefix, "?#%;\\ ") {
		c.add(field, "%q is not a path prefix: use a cleaned absolute path without escapes", prefix)
	}
	if prefix == reservedPrefix || strings.HasPrefix(prefix, reservedPrefix+"/") {
		c.add(field, "paths below %s are reserved", reservedPrefix)
	}
}

func validateMethods(c *checker, field string, methods []string) {
	c.notEmpty(field+".methods", len(methods))
	seen := map[string]bool{}
	for i, m := range methods {
		methodField := fmt.Sprintf("%s.methods[%d]", field, i)
		c.known(methodField, "method", m, knownMethods)
		c.unique(methodField, m, seen)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
