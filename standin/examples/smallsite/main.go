// Command smallsite starts a small site on loopback, sends requests to it and prints the answers and the timeline.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/zeebo/errs"

	"clementinetray/api/catalogue"
	"clementinetray/standin/engine"
	"clementinetray/standin/rating"
	"clementinetray/standin/service"
	"clementinetray/standin/site"
)

// Error is the class of all errors of this program.
var Error = errs.Class("smallsite")

const startTimeout = 30 * time.Second

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	dir, err := os.MkdirTemp("", "smallsite")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("building clementinetray and clementinectl")
	binaries, err := site.Build(dir)
	if err != nil {
		return err
	}
	ratingService, err := rating.Start(map[string]float64{site.CheapVersion.String(): 0.8, site.DearVersion.String(): 0.95})
	if err != nil {
		return err
	}
	defer ratingService.Kill()
	s, err := site.New(site.Config{
		Binaries: binaries, Dir: dir, ControlCount: 3, Zones: []string{"north", "south"}, RatingURL: ratingService.URL(),
	})
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Start(); err != nil {
		return err
	}
	engines, err := startEngines(s.AnnouncementAddresses())
	defer stopEngines(engines)
	if err != nil {
		return err
	}
	c := site.SampleCatalogue()
	c.Classes[0].ExplorePercent = 25
	if err := s.ApplyCatalogue(c, startTimeout); err != nil {
		return err
	}
	if err := s.WaitReady(startTimeout); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // time for backend servers to announce themselves
	if err := rateModels(s); err != nil {
		return err
	}
	return sendRequestsAndPrint(s)
}

// rateModels sends class requests through all instances and waits for the ratings of their answers to take effect. The
// ratings decide which model meets the quality target of the class.
func rateModels(s *site.Site) error {
	fmt.Println("sending 240 class requests; a quarter explores the cheap model and is rated")
	for n := range 240 {
		body := fmt.Sprintf(`{"model":"class:lookup","messages":[{"role":"user","content":"certificate %d"}]}`, n)
		if _, err := s.Post(s.Instances[n%len(s.Instances)], "/v1/chat/completions", site.LargeKey, body); err != nil {
			return err
		}
	}
	time.Sleep(7 * time.Second) // ratings are sent every second, rating tables are received every 5 s
	return nil
}

func startEngines(announceTo []string) ([]*engine.Engine, error) {
	var engines []*engine.Engine
	for _, c := range []engine.Config{
		{ID: "cheap-north", AvailabilityZone: "north", Versions: []catalogue.VersionRef{site.CheapVersion}},
		{ID: "cheap-south", AvailabilityZone: "south", Versions: []catalogue.VersionRef{site.CheapVersion}},
		{ID: "dear-south", AvailabilityZone: "south", Versions: []catalogue.VersionRef{site.DearVersion}},
		{ID: "orders-north", AvailabilityZone: "north", Service: "orders", Handler: service.New()},
	} {
		c.Capacity, c.ColdCapacity, c.AnswerTokens = 8, 2, 12
		c.FirstTokenDelay, c.TokenInterval = 20*time.Millisecond, 5*time.Millisecond
		c.AnnounceTo = announceTo
		e, err := engine.Start(c)
		if err != nil {
			return engines, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

func stopEngines(engines []*engine.Engine) {
	for _, e := range engines {
		e.Stop()
	}
}

// sendRequestsAndPrint sends requests, prints their answers, and then prints what clementinectl reports about the site.
func sendRequestsAndPrint(s *site.Site) error {
	const bodyAfterModel = `"messages":[{"role":"user","content":"Which tolerance holds for a boiler dome?"}]}`
	for i, r := range []struct{ title, path, key, body string }{
		{"a class request runs on the cheapest model that meets its target", "/v1/chat/completions", site.LargeKey, `{"model":"class:lookup",` + bodyAfterModel},
		{"the expensive model by name, streamed", "/v1/chat/completions", site.LargeKey, `{"model":"dear","stream":true,` + bodyAfterModel},
		{"a workspace that may not use the expensive model", "/v1/chat/completions", site.SmallKey, `{"model":"dear",` + bodyAfterModel},
		{"an order commit", "/services/orders/commit", site.LargeKey, `{"part":"dome 7"}`},
		{"the same order commit again through another instance", "/services/orders/commit", site.LargeKey, `{"part":"dome 7"}`},
	} {
		instance := s.Instances[i%len(s.Instances)]
		answer, err := s.Post(instance, r.path, r.key, r.body, "Idempotency-Key", fmt.Sprintf("key-%s-%s", r.path, r.body))
		if err != nil {
			return err
		}
		fmt.Printf("\n== %s (through %s): %d\n%s\n", r.title, instance.ID, answer.Status, answer.Body)
	}
	for _, command := range [][]string{{"status"}, {"servers"}, {"bills"}, {"timeline", "--limit", "60"}} {
		out, code := s.RunCtl(command...)
		fmt.Printf("\n== clementinectl %s (exit code %d)\n%s", command[0], code, out)
	}
	return nil
}
