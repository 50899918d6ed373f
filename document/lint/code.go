package lint

// Code identifies a kind of finding. Scripts may rely on it.
type Code string

// Errors.
const (
	// CodeInvalid: document.Decode rejects the document.
	CodeInvalid Code = "invalid"
	// CodeDeployment: the document in force is that of another deployment.
	CodeDeployment Code = "deployment"
	// CodeNumber: the number is not one that the environment accepts next.
	CodeNumber Code = "number"
)

// Warnings about entries without effect.
const (
	// CodeServiceUnused: no customer may use the service, and it has no public route.
	CodeServiceUnused Code = "service-unused"
	// CodeRouteUnused: no customer may use the service of the route, and the route is not public.
	CodeRouteUnused Code = "route-unused"
	// CodeRouteNarrowed: a more specific route rejects methods that a less specific one allows.
	CodeRouteNarrowed Code = "route-narrowed"
	// CodeRegionUnused: no capacity, steering rule or client block names the region.
	CodeRegionUnused Code = "region-unused"
	// CodeCapacityUnused: no rule of the service names the region of the capacity.
	CodeCapacityUnused Code = "capacity-unused"
	// CodeCustomerWithoutKey: no request can be attributed to the customer.
	CodeCustomerWithoutKey Code = "customer-without-key"
	// CodeRuleNotAllowed: the customer of the rule may not use its service.
	CodeRuleNotAllowed Code = "rule-not-allowed"
	// CodeRuleHidden: more specific rules apply to all requests that the rule matches.
	CodeRuleHidden Code = "rule-hidden"
	// CodeRuleRedundant: without the rule, rules with the same weights apply.
	CodeRuleRedundant Code = "rule-redundant"
	// CodeRuleDrained: all regions of the rule are drained.
	CodeRuleDrained Code = "rule-drained"
	// CodeZeroWeight: a region with weight 0, used if all others are drained, has no capacity for the service.
	CodeZeroWeight Code = "zero-weight"
	// CodeBlockHidden: more specific blocks cover all addresses of the client block.
	CodeBlockHidden Code = "block-hidden"
	// CodeBlockRedundant: the next larger client block has the same region.
	CodeBlockRedundant Code = "block-redundant"
)

// Warnings about limits that contradict each other.
const (
	// CodeRateAboveCapacity: the rate of a customer exceeds the capacity of all services that it may use.
	CodeRateAboveCapacity Code = "rate-above-capacity"
	// CodeRatesAboveCapacity: the rates of the customers of a service exceed its capacity.
	CodeRatesAboveCapacity Code = "rates-above-capacity"
	// CodeRegionAboveCapacity: the weights send more to a region than its capacity, wherever callers enter.
	CodeRegionAboveCapacity Code = "region-above-capacity"
	// CodeLinkBelowRates: a link cannot carry the requests that the weights send over it.
	CodeLinkBelowRates Code = "link-below-rates"
	// CodeLinkBelowBody: a link cannot carry the largest body of a route within its deadline.
	CodeLinkBelowBody Code = "link-below-body"
	// CodeBurstRaised: the control plane grants more than the burst.
	CodeBurstRaised Code = "burst-raised"
)

// CodeUnchanged: only the number differs from the version in force. It is a warning.
const CodeUnchanged Code = "unchanged"
