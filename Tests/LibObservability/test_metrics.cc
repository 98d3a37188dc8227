#include <doctest/doctest.h>

#include <string>

#include "LibObservability/metrics.h"

using observability::MetricsRegistry;

TEST_CASE("metrics are rendered in the Prometheus text format") {
  MetricsRegistry metrics;

  metrics.CounterOf("flows_total", "Flows.", {{"service", "a\"b\n"}}).Add(2);
  metrics.GaugeOf("open", "Open flows.").Set(1.5);
  auto& wait = metrics.HistogramOf("wait_seconds", "Wait.", {0.1, 1});
  for (const double value : {0.05, 0.1, 0.5, 3.0})
    wait.Record(value);

  CHECK(metrics.RenderPrometheus() ==
        "# HELP flows_total Flows.\n# TYPE flows_total counter\n"
        "flows_total{service=\"a\\\"b\\n\"} 2\n"
        "# HELP open Open flows.\n# TYPE open gauge\nopen 1.5\n"
        "# HELP wait_seconds Wait.\n# TYPE wait_seconds histogram\n"
        "wait_seconds_bucket{le=\"0.1\"} 2\n"
        "wait_seconds_bucket{le=\"1\"} 3\n"
        "wait_seconds_bucket{le=\"+Inf\"} 4\n"
        "wait_seconds_sum 3.65\nwait_seconds_count 4\n");
}

TEST_CASE("RaiseTo never decreases a counter") {
  observability::Counter counter;

  counter.RaiseTo(5);
  counter.RaiseTo(3);

  CHECK(counter.Value() == 5);
}

TEST_CASE("label sets beyond the limit of a family share one series") {
  MetricsRegistry metrics;

  for (int index = 0; index < 1000; ++index)
    metrics.CounterOf("c", "C.", {{"key", std::to_string(index)}}).Add();

  const std::string text = metrics.RenderPrometheus();
  CHECK(text.find("c{key=\"other\"} 744\n") != std::string::npos);
  CHECK(text.find("c{key=\"256\"}") == std::string::npos);
}
