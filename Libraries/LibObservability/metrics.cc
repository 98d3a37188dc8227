#include "LibObservability/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "LibBase/overloaded.h"
#include "LibBase/verify.h"

namespace observability {

namespace {

constexpr std::string_view kOverflowLabelValue = "other";

std::string EscapeLabelValue(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\')
      escaped += '\\';
    escaped += character;
  }
  return escaped;
}

std::string EscapeHelp(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '\n')
      escaped += "\\n";
    else if (character == '\\')
      escaped += "\\\\";
    else
      escaped += character;
  }
  return escaped;
}

std::string FormatNumber(double number) {
  if (std::isnan(number))
    return "NaN";
  if (std::isinf(number))
    return number > 0 ? "+Inf" : "-Inf";
  return fmt::format("{}", number);
}

std::string FormatLabels(const Labels& labels) {
  if (labels.empty())
    return {};
  std::string text = "{";
  for (const Label& label : labels) {
    if (text.size() > 1)
      text += ',';
    text +=
        fmt::format("{}=\"{}\"", label.m_name, EscapeLabelValue(label.m_value));
  }
  return text + "}";
}

Labels OverflowLabels(Labels labels) {
  for (Label& label : labels)
    label.m_value = kOverflowLabelValue;
  return labels;
}

std::string FormatBuckets(std::string_view name,
                          const Labels& labels,
                          const Histogram::Snapshot& snapshot) {
  std::string text;
  std::uint64_t cumulative = 0;
  for (std::size_t index = 0; index < snapshot.m_counts.size(); ++index) {
    cumulative += snapshot.m_counts[index];
    const bool has_upper_bound = index < snapshot.m_upper_bounds.size();
    Labels with_bound = labels;
    with_bound.push_back(
        {"le", has_upper_bound ? FormatNumber(snapshot.m_upper_bounds[index])
                               : "+Inf"});
    text += fmt::format("{}_bucket{} {}\n", name, FormatLabels(with_bound),
                        cumulative);
  }
  text += fmt::format("{}_sum{} {}\n", name, FormatLabels(labels),
                      FormatNumber(snapshot.m_sum));
  text +=
      fmt::format("{}_count{} {}\n", name, FormatLabels(labels), cumulative);
  return text;
}

}  // namespace

template <typename Metric, typename... Arguments>
Metric& MetricsRegistry::FindOrCreateSeries(std::string_view name,
                                            std::string_view help,
                                            const Labels& labels,
                                            const Arguments&... arguments) {
  const std::scoped_lock lock(m_mutex);
  Family& family =
      m_families.try_emplace(std::string(name), Family{std::string(help), {}})
          .first->second;
  auto& all_series = family.m_series;
  const bool fits =
      all_series.contains(labels) || all_series.size() < kMaxSeriesInFamily;
  const Labels stored_labels = fits ? labels : OverflowLabels(labels);
  auto entry = all_series.find(stored_labels);
  if (entry == all_series.end())
    entry = all_series
                .emplace(stored_labels, std::make_unique<Metric>(arguments...))
                .first;
  auto* series = std::get_if<std::unique_ptr<Metric>>(&entry->second);
  VERIFY(series != nullptr);
  return **series;
}

Counter& MetricsRegistry::CounterOf(std::string_view name,
                                    std::string_view help,
                                    const Labels& labels) {
  return FindOrCreateSeries<Counter>(name, help, labels);
}

Gauge& MetricsRegistry::GaugeOf(std::string_view name,
                                std::string_view help,
                                const Labels& labels) {
  return FindOrCreateSeries<Gauge>(name, help, labels);
}

Histogram& MetricsRegistry::HistogramOf(std::string_view name,
                                        std::string_view help,
                                        const std::vector<double>& upper_bounds,
                                        const Labels& labels) {
  return FindOrCreateSeries<Histogram>(name, help, labels, upper_bounds);
}

std::string MetricsRegistry::RenderPrometheus() const {
  const std::scoped_lock lock(m_mutex);
  std::string text;
  for (const auto& [name, family] : m_families) {
    const auto& first = family.m_series.begin()->second;
    const std::string_view kind = std::visit(
        base::Overloaded{
            [](const std::unique_ptr<Counter>&) { return "counter"; },
            [](const std::unique_ptr<Gauge>&) { return "gauge"; },
            [](const std::unique_ptr<Histogram>&) { return "histogram"; }},
        first);
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name,
                        EscapeHelp(family.m_help), name, kind);
    for (const auto& [labels, series] : family.m_series) {
      const auto line = [&name = name, &labels = labels](const auto& value) {
        return fmt::format("{}{} {}\n", name, FormatLabels(labels), value);
      };
      text += std::visit(
          base::Overloaded{[&](const std::unique_ptr<Counter>& counter) {
                             return line(counter->Value());
                           },
                           [&](const std::unique_ptr<Gauge>& gauge) {
                             return line(FormatNumber(gauge->Value()));
                           },
                           [&name = name, &labels = labels](
                               const std::unique_ptr<Histogram>& histogram) {
                             return FormatBuckets(name, labels,
                                                  histogram->TakeSnapshot());
                           }},
          series);
    }
  }
  return text;
}

}  // namespace observability
