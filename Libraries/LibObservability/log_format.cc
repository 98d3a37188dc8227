#include "LibObservability/log_format.h"

#include <fmt/format.h>

#include <cmath>
#include <cstdint>
#include <ctime>
#include <optional>

#include "LibBase/overloaded.h"

namespace observability {

namespace {

constexpr std::string_view kReplacementCharacter = "\xEF\xBF\xBD";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstNonAscii = 0x80;

// The form of the well-formed UTF-8 sequences that start with one lead byte:
// their length in bytes and the range of their second byte.
struct Utf8SequenceForm {
  std::size_t m_length;
  unsigned char m_second_low;
  unsigned char m_second_high;
};

// Returns the form of the well-formed multi-byte sequences that start with
// `lead`, or nullopt if there are none (Unicode 15, table 3-7).
std::optional<Utf8SequenceForm> Utf8SequenceFormOf(unsigned char lead) {
  if (lead >= 0xC2 && lead <= 0xDF)
    return Utf8SequenceForm{2, 0x80, 0xBF};
  if (lead == 0xE0)
    return Utf8SequenceForm{3, 0xA0, 0xBF};
  if (lead == 0xED)
    return Utf8SequenceForm{3, 0x80, 0x9F};
  if (lead >= 0xE1 && lead <= 0xEF)
    return Utf8SequenceForm{3, 0x80, 0xBF};
  if (lead == 0xF0)
    return Utf8SequenceForm{4, 0x90, 0xBF};
  if (lead >= 0xF1 && lead <= 0xF3)
    return Utf8SequenceForm{4, 0x80, 0xBF};
  if (lead == 0xF4)
    return Utf8SequenceForm{4, 0x80, 0x8F};
  return std::nullopt;
}

// Returns the length of the multi-byte sequence at the start of `text`, or 0 if
// the sequence is not well-formed.
std::size_t Utf8SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t index) {
    return static_cast<unsigned char>(text[index]);
  };
  const auto form = Utf8SequenceFormOf(byte(0));
  if (!form || text.size() < form->m_length)
    return 0;
  if (byte(1) < form->m_second_low || byte(1) > form->m_second_high)
    return 0;
  for (std::size_t index = 2; index < form->m_length; ++index) {
    if ((byte(index) & 0xC0) != 0x80)
      return 0;
  }
  return form->m_length;
}

void AppendAscii(std::string& json, char character) {
  const auto byte = static_cast<unsigned char>(character);
  switch (character) {
    case '"':
      json += "\\\"";
      return;
    case '\\':
      json += "\\\\";
      return;
    case '\n':
      json += "\\n";
      return;
    case '\r':
      json += "\\r";
      return;
    case '\t':
      json += "\\t";
      return;
    default:
      break;
  }
  if (byte < kFirstPrintable || byte == 0x7F)
    json += fmt::format("\\u{:04x}", byte);
  else
    json += character;
}

// Formats the fields of the calendar time one by one, because fmt's format
// specifications for calendar times use the locale, which costs more than the
// rest of a line.
std::string FormatTime(std::chrono::system_clock::time_point time) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  constexpr int kTmBaseYear = 1900;
  const auto whole_seconds = std::chrono::floor<seconds>(time);
  const auto fraction_ms =
      std::chrono::duration_cast<milliseconds>(time - whole_seconds).count();
  const std::time_t since_epoch =
      std::chrono::system_clock::to_time_t(whole_seconds);
  std::tm calendar{};
  gmtime_r(&since_epoch, &calendar);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                     calendar.tm_year + kTmBaseYear, calendar.tm_mon + 1,
                     calendar.tm_mday, calendar.tm_hour, calendar.tm_min,
                     calendar.tm_sec, fraction_ms);
}

}  // namespace

std::string QuoteJson(std::string_view text) {
  std::string json = "\"";
  while (!text.empty()) {
    if (static_cast<unsigned char>(text.front()) < kFirstNonAscii) {
      AppendAscii(json, text.front());
      text.remove_prefix(1);
      continue;
    }
    const std::size_t length = Utf8SequenceLength(text);
    json += length == 0 ? kReplacementCharacter : text.substr(0, length);
    text.remove_prefix(length == 0 ? 1 : length);
  }
  json += '"';
  return json;
}

std::string ToJson(const LogValue& value) {
  return std::visit(
      base::Overloaded{
          [](bool flag) -> std::string { return flag ? "true" : "false"; },
          [](double number) -> std::string {
            return std::isfinite(number) ? fmt::format("{}", number) : "null";
          },
          [](const std::string& text) {
            return QuoteJson(
                std::string_view(text).substr(0, kMaxLogTextBytes));
          },
          [](auto integer) { return fmt::format("{}", integer); },
      },
      value);
}

std::string FormatLogLine(std::chrono::system_clock::time_point time,
                          Severity severity,
                          Event event,
                          std::span<const LogField> fields) {
  std::string line = fmt::format(
      R"({{"time":"{}","severity":"{}","event":"{}")", FormatTime(time),
      NameOf(kSeverityNames, severity), NameOf(kEventNames, event));
  for (const LogField& field : fields) {
    line += ',';
    line += QuoteJson(field.m_name);
    line += ':';
    line += ToJson(field.m_value);
  }
  line += '}';
  return line;
}

}  // namespace observability
