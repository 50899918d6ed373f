package harness

import "fmt"

// Configuration returns a configuration with one route for safe requests under /read/ and one tenant.
func Configuration(ratePerS, burst int) string {
	return fmt.Sprintf(configuration, ratePerS, burst)
}

const configuration = `{"version":1,"baseVersion":0,"routes":[{"name":"read","host":"a.example","pathPrefix":"/read/",
"kind":"safe","timeout":"8000ms","targetLatency":"400ms","priority":1,"service":"service","maxAttempts":2,"public":false,
"cacheAffinity":false,"allowedRegions":[]}],"services":[{"name":"service","healthPath":"/health","maxConnections":330,
"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":9.5}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
"headerTimeout":"3000ms","idleTimeout":"15000ms"},"tenants":[{"name":"tenant","apiKeys":["key-1"],"priority":1,
"ratePerS":%d,"burst":%d,"allowedRegions":[]}]}`
