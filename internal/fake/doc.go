// Package fake holds small stand-ins for what embercove meets: model runners,
// plain services, the platform and a network with cuts. They serve tests,
// trials and the demo.
//
// Each stand-in keeps its own truth of what ran, how often and for whom, so
// that a promise is judged by the endpoint and not by the router's word.
package fake
