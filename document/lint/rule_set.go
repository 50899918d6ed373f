package lint

import "pistachiomount.example/pistachiomount/document"

// ruleKey is what a steering rule matches.
type ruleKey struct{ service, customer, from string }

// ruleSet finds the steering rules that apply to requests.
type ruleSet struct {
	rules []document.SteeringRule
	index map[ruleKey]int
}

func newRuleSet(rules []document.SteeringRule) ruleSet {
	s := ruleSet{rules: rules, index: make(map[ruleKey]int, len(rules))}
	for i, r := range rules {
		s.index[ruleKey{r.Service, r.Customer, r.From}] = i
	}
	return s
}

// matching returns the indexes of the rules that match, the one that applies first. The default rule, which every
// service has, is the last one.
func (s ruleSet) matching(service, customer, from string) []int {
	var found []int
	for _, key := range []ruleKey{
		{service, customer, from},
		{service, customer, document.Wildcard},
		{service, document.Wildcard, from},
		{service, document.Wildcard, document.Wildcard},
	} {
		if i, ok := s.index[key]; ok {
			found = append(found, i)
		}
	}
	return found
}

// weight returns the part of the requests that the applying rule sends to a region.
func (s ruleSet) weight(service, customer, from, to string) float64 {
	return float64(s.rules[s.matching(service, customer, from)[0]].Weights[to]) / document.WeightSum
}
