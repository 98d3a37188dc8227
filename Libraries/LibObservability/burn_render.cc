#include "LibObservability/burn_render.h"

#include <fmt/format.h>

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <string_view>

#include "LibBase/escape_markup.h"

namespace observability {

namespace {

// Lengths in SVG user units; one unit is one pixel.
constexpr int kFontSize = 12;
constexpr int kRowHeight = 16;
constexpr int kBarHeight = 11;
constexpr int kHeaderHeight = 40;
constexpr int kTitleHeight = 22;
constexpr int kGroupGap = 14;
constexpr int kRowsHeight = kRowHeight * static_cast<int>(kBurnWindowCount);
constexpr int kGroupHeight = kTitleHeight + kRowsHeight + kGroupGap;
constexpr int kLabelWidth = 56;
constexpr int kChartWidth = 560;
constexpr int kValueWidth = 180;
constexpr int kValueGap = 8;
constexpr int kImageWidth = kLabelWidth + kChartWidth + kValueWidth;
// The burn rate at the right edge of the chart. A bar of a higher burn rate is
// no longer than the chart.
constexpr double kMaximumDrawnBurnRate = 20;

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
  const double share =
      std::min(rate, kMaximumDrawnBurnRate) / kMaximumDrawnBurnRate;
  return static_cast<int>(share * kChartWidth);
}

std::string_view BarColour(const BurnStatus& status) {
  if (!status.m_alert)
    return "#4a7a4a";
  return status.m_alert->m_severity == AlertSeverity::kPage ? "#b03030"
                                                            : "#c08020";
}

std::string FormatWindow(const BurnStatus& status, std::size_t window) {
  const EventCounts& counts = status.m_counts[window];
  return fmt::format("{}x ({}/{})", FormatRate(status.m_burn_rates[window]),
                     counts.m_bad, counts.m_total);
}

enum class TextStyle { kPlain, kBold, kMiddle };

void AppendText(std::ostringstream& svg,
                int x,
                int y,
                std::string_view text,
                TextStyle style = TextStyle::kPlain) {
  svg << "<text x=\"" << x << "\" y=\"" << y << '"';
  if (style == TextStyle::kBold)
    svg << " font-weight=\"bold\"";
  if (style == TextStyle::kMiddle)
    svg << " text-anchor=\"middle\"";
  svg << '>' << base::EscapeMarkup(text) << "</text>";
}

void AppendRectangle(std::ostringstream& svg,
                     int top,
                     int width,
                     std::string_view colour) {
  svg << "<rect x=\"" << kLabelWidth << "\" y=\"" << top << "\" width=\""
      << width << "\" height=\"" << kBarHeight << "\" fill=\"" << colour
      << "\"/>";
}

void AppendBar(std::ostringstream& svg,
               const BurnStatus& status,
               std::size_t window,
               int top) {
  const int baseline = top + kBarHeight - 1;
  AppendText(svg, 0, baseline, kBurnWindowNames[window].m_name);
  AppendRectangle(svg, top, kChartWidth, "#eef2f5");
  AppendRectangle(svg, top, BarWidth(status.m_burn_rates[window]),
                  BarColour(status));
  AppendText(svg, kLabelWidth + kChartWidth + kValueGap, baseline,
             FormatWindow(status, window));
}

void AppendThresholds(std::ostringstream& svg, int top) {
  for (const BurnAlertRule& rule : kBurnAlertRules) {
    const int x = kLabelWidth + BarWidth(rule.m_burn_rate);
    svg << "<line x1=\"" << x << "\" y1=\"" << top << "\" x2=\"" << x
        << "\" y2=\"" << top + kRowsHeight
        << "\" stroke=\"#5d6d7d\" stroke-dasharray=\"2 3\"/>";
  }
}

void AppendHeader(std::ostringstream& svg) {
  AppendText(svg, 0, kFontSize,
             "Burn rate: how many times faster than allowed the error budget "
             "is used (bad/all events). Lines: alert rules.");
  for (const BurnAlertRule& rule : kBurnAlertRules)
    AppendText(svg, kLabelWidth + BarWidth(rule.m_burn_rate), kHeaderHeight - 4,
               fmt::format("{}x", rule.m_burn_rate), TextStyle::kMiddle);
}

void AppendGroup(std::ostringstream& svg, const BurnStatus& status, int top) {
  const std::string title =
      status.m_service + ": " +
      std::string(base::NameOf(kObjectiveNames, status.m_objective)) +
      (status.m_alert ? ", " + std::string(AlertName(status)) : "");
  AppendText(svg, 0, top + kTitleHeight - 8, title, TextStyle::kBold);
  const int rows_top = top + kTitleHeight;
  for (std::size_t window = 0; window < kBurnWindowCount; ++window)
    AppendBar(svg, status, window,
              rows_top + static_cast<int>(window) * kRowHeight);
  AppendThresholds(svg, rows_top);
}

// The cells of one row of the text table.
using TableRow = std::vector<std::string>;

TableRow HeaderRow() {
  TableRow row{"service", "objective", "budget"};
  for (const auto& window : kBurnWindowNames)
    row.emplace_back(window.m_name);
  row.emplace_back("alert");
  return row;
}

TableRow RowOf(const BurnStatus& status) {
  TableRow row{
      status.m_service,
      std::string(base::NameOf(kObjectiveNames, status.m_objective)),
      fmt::format("{:g}", status.m_error_budget),
  };
  for (std::size_t window = 0; window < kBurnWindowCount; ++window)
    row.push_back(FormatWindow(status, window));
  row.emplace_back(AlertName(status));
  return row;
}

// Pads the cells of each column to the width of its widest cell.
std::string AlignColumns(const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const TableRow& row : rows) {
    for (std::size_t column = 0; column < row.size(); ++column)
      widths[column] = std::max(widths[column], row[column].size());
  }
  std::string text;
  for (const TableRow& row : rows) {
    for (std::size_t column = 0; column + 1 < row.size(); ++column)
      text += fmt::format("{:<{}}  ", row[column], widths[column]);
    text += row.back() + "\n";
  }
  return text;
}

}  // namespace

std::string RenderBurnText(const std::vector<BurnStatus>& statuses) {
  std::vector<TableRow> rows{HeaderRow()};
  for (const BurnStatus& status : statuses)
    rows.push_back(RowOf(status));
  return AlignColumns(rows);
}

std::string RenderBurnSvg(const std::vector<BurnStatus>& statuses) {
  const int height =
      kHeaderHeight +
      std::max<int>(kGroupHeight * static_cast<int>(statuses.size()),
                    kTitleHeight);
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kImageWidth
      << "\" height=\"" << height << "\" viewBox=\"0 0 " << kImageWidth << ' '
      << height << "\" font-family=\"sans-serif\" font-size=\"" << kFontSize
      << "\" fill=\"#1d2733\">";
  AppendHeader(svg);
  int top = kHeaderHeight;
  for (const BurnStatus& status : statuses) {
    AppendGroup(svg, status, top);
    top += kGroupHeight;
  }
  if (statuses.empty())
    AppendText(svg, 0, top + kFontSize, "no services");
  svg << "</svg>";
  return svg.str();
}

}  // namespace observability
