#include "StandIns/command_line.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>

namespace base {

namespace {

namespace options = boost::program_options;

template <typename Value>
void StoreParsed(boost::any& target,
                 const std::vector<std::string>& texts,
                 std::optional<Value> (*parse)(std::string_view)) {
  options::validators::check_first_occurrence(target);
  const std::string& text = options::validators::get_single_string(texts);
  const auto value = parse(text);
  if (!value)
    throw options::validation_error(
        options::validation_error::invalid_option_value, "", text);
  target = *value;
}

}  // namespace

void validate(boost::any& value,  // NOLINT(readability-identifier-naming)
              const std::vector<std::string>& texts,
              Ipv4Address* /*target*/,
              int /*unused*/) {
  StoreParsed(value, texts, &ParseIpv4Address);
}

void validate(boost::any& value,  // NOLINT(readability-identifier-naming)
              const std::vector<std::string>& texts,
              Endpoint* /*target*/,
              int /*unused*/) {
  StoreParsed(value, texts, &ParseEndpoint);
}

}  // namespace base

namespace stand_ins {

bool ParseArguments(const boost::program_options::options_description& options,
                    const Arguments& arguments) {
  try {
    boost::program_options::variables_map values;
    boost::program_options::store(
        boost::program_options::command_line_parser(arguments)
            .options(options)
            .run(),
        values);
    boost::program_options::notify(values);
    return true;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << options;
    return false;
  }
}

int FailToStart(const std::string& reason) {
  std::cerr << reason << "\n";
  return EXIT_FAILURE;
}

}  // namespace stand_ins
