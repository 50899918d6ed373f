package lint

import "fmt"

// checkCustomers reports customers without keys and bursts that are not granted as written.
func (l *linter) checkCustomers() {
	for i, c := range l.doc.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		if len(c.Keys) == 0 {
			l.warn(CodeCustomerWithoutKey, path+".keys", "no request can be attributed to customer %q", c.Name)
		}
		if l.options.MinBurst == nil {
			continue
		}
		if least := l.options.MinBurst(c.Rate); c.Burst < least {
			l.warn(CodeBurstRaised, path+".burst", "%v is below %v, which is granted at least with a rate of %v", c.Burst, least, c.Rate)
		}
	}
}
