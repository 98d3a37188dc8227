#include "LibObservability/burn_render.h"

#include "LibBase/escape_markup.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace observability {

namespace {

// Lengths in user units of the SVG, one a pixel.
constexpr int kBarHeight = 8;
constexpr int kTitleHeight = 18;
constexpr int kGroupGap = 12;
constexpr int kGroupHeight =
    kTitleHeight + kBarHeight * static_cast<int>(kBurnWindowCount) + kGroupGap;
constexpr int kLabelWidth = 60;
constexpr int kChartWidth = 400;
constexpr int kValueWidth = 60;
constexpr int kPictureWidth = kLabelWidth + kChartWidth + kValueWidth;
constexpr double kGreatestBurnRate = 20;

std::string FormatRate(double rate) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(rate < 10 ? 2 : 1) << rate;
  return text.str();
}

std::string_view AlertName(const BurnStatus& status) {
  if (!status.m_alert)
    return "-";
  return base::NameOf(kAlertSeverityNames, status.m_alert->m_severity);
}

int BarWidth(double rate) {
  const double share = std::min(rate, kGreatestBurnRate) / kGreatestBurnRate;
  return static_cast<int>(share * kChartWidth);
}

std::string_view BarColour(const BurnStatus& status) {
  if (!status.m_alert)
    return "#4a7a4a";
  return status.m_alert->m_severity == AlertSeverity::kPage ? "#b03030"
                                                            : "#c08020";
}

void AppendText(std::ostringstream& svg, int x, int y, std::string_view text) {
  svg << "<text x=\"" << x << "\" y=\"" << y << "\">"
      << base::EscapeMarkup(text) << "</text>";
}

void AppendBar(std::ostringstream& svg,
               const BurnStatus& status,
               std::size_t window,
               int top) {
  const double rate = status.m_burn_rates[window];
  const int width = BarWidth(rate);
  AppendText(svg, 0, top + kBarHeight - 1, kBurnWindowNames[window].m_name);
  svg << "<rect x=\"" << kLabelWidth << "\" y=\"" << top << "\" width=\""
      << width << "\" height=\"" << kBarHeight - 1 << "\" fill=\""
      << BarColour(status) << "\"/>";
  AppendText(svg, kLabelWidth + kChartWidth + 4, top + kBarHeight - 1,
             FormatRate(rate));
}

void AppendGroup(std::ostringstream& svg, const BurnStatus& status, int top) {
  const std::string title =
      status.m_service + ": " +
      std::string(base::NameOf(kObjectiveNames, status.m_objective)) +
      (status.m_alert ? ", " + std::string(AlertName(status)) : "");
  AppendText(svg, 0, top + kTitleHeight - 4, title);
  for (std::size_t window = 0; window < kBurnWindowCount; ++window) {
    AppendBar(svg, status, window,
              top + kTitleHeight + static_cast<int>(window) * kBarHeight);
  }
}

void AppendThresholds(std::ostringstream& svg, int height) {
  for (const BurnRule& rule : kBurnRules) {
    const int x = kLabelWidth + BarWidth(rule.m_burn_rate);
    svg << "<line x1=\"" << x << "\" y1=\"0\" x2=\"" << x << "\" y2=\""
        << height << "\" stroke=\"#888\" stroke-dasharray=\"2 3\"/>";
  }
}

}  // namespace

std::string RenderBurnText(const std::vector<BurnStatus>& statuses) {
  std::ostringstream text;
  for (const BurnStatus& status : statuses) {
    text << status.m_service << ", "
         << base::NameOf(kObjectiveNames, status.m_objective) << " (budget "
         << status.m_error_budget << "):";
    for (std::size_t window = 0; window < kBurnWindowCount; ++window) {
      const EventCounts& counts = status.m_counts[window];
      text << ' ' << kBurnWindowNames[window].m_name << ' '
           << FormatRate(status.m_burn_rates[window]) << "x (" << counts.m_bad
           << '/' << counts.m_total << ");";
    }
    text << " alert " << AlertName(status) << '\n';
  }
  return text.str();
}

std::string RenderBurnSvg(const std::vector<BurnStatus>& statuses) {
  const int height = std::max<int>(
      kGroupHeight * static_cast<int>(statuses.size()), kTitleHeight);
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kPictureWidth
      << "\" height=\"" << height << "\" viewBox=\"0 0 " << kPictureWidth << ' '
      << height << "\" font-family=\"sans-serif\" font-size=\"9\">";
  AppendThresholds(svg, height);
  int top = 0;
  for (const BurnStatus& status : statuses) {
    AppendGroup(svg, status, top);
    top += kGroupHeight;
  }
  if (statuses.empty())
    AppendText(svg, 0, kTitleHeight - 4, "no services");
  svg << "</svg>";
  return svg.str();
}

}  // namespace observability
