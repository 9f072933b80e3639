package tool

import (
	"flag"
	"fmt"
	"time"

	"github.com/embercove/embercove/slope"
)

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// slopes measures and prints the control overhead.
func (t *tool) slopes(fs *flag.FlagSet, args []string) error {
	span := fs.Duration("span", 10*time.Second, "how long the deployment is watched, idle and loaded each")
	if err := parse(fs, args, false); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "| hosts in the domain | endpoints in the region | bytes an exchange | processor an exchange | heap of the tables |\n| --- | --- | --- | --- | --- |\n")
	for _, size := range [][2]int{{3, 13}, {8, 13}, {88, 13}, {8, 193}, {88, 193}, {88, 385}} {
		exchange, err := slope.MeasureExchange(size[0], size[1])
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "| %d | %d | %.0f | %s | %.2f MB |\n", exchange.Hosts, exchange.Endpoints, exchange.Bytes, exchange.CPUTime.Round(time.Microsecond), exchange.Heap/1e6)
	}
	const pairs = 200
	latency, err := slope.MeasureLatency(pairs)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\ntime to first token, %d pairs: %.2f ms directly, %.2f ms by an entry host; added %.2f ms at the median, %.2f ms at 95 in 100\n",
		latency.Pairs, milliseconds(latency.Direct), milliseconds(latency.Routed), milliseconds(latency.Added), milliseconds(latency.AddedP95))
	requests, err := slope.MeasureRequests(*span)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "\nwith %.2f requests a second on each host:\n", requests.Rate)
	fmt.Fprintf(t.out, "  to and from peers     %.0f B/s idle; for each request see TestFleet\n", requests.Idle)
	fmt.Fprintf(t.out, "  to and from endpoints %.0f B/s and %.1f calls/s for each owned endpoint\n", requests.PollBytes, requests.Polls)
	fmt.Fprintf(t.out, "  processor            %.2f ms for each request, with relaying, stand-ins and callers\n", 1000*requests.CPUSeconds)
	return nil
}
