package demo

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// total returns the total of a counter or gauge over the processes with the given
// admin base URLs, counting only series that have all the labels.
func (d *Demo) total(ctx context.Context, admins []string, name string, labels map[string]string) (float64, error) {
	sum := 0.0
	for _, admin := range admins {
		families, err := d.scrape(ctx, admin)
		if err != nil {
			return 0, err
		}
		for _, m := range families[name].GetMetric() {
			if hasLabels(m, labels) {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum, nil
}

// scrape reads the metrics of one process; admin is the base URL of its admin
// listener.
func (d *Demo) scrape(ctx context.Context, admin string) (map[string]*dto.MetricFamily, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.metricsClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	return families, errors.Wrapf(err, "reading the metrics of %s", admin)
}

func hasLabels(m *dto.Metric, labels map[string]string) bool {
	found := 0
	for _, l := range m.GetLabel() {
		if labels[l.GetName()] == l.GetValue() && l.GetValue() != "" {
			found++
		}
	}
	return found == len(labels)
}
