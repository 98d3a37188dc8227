#include "command_line.h"

#include <boost/program_options/errors.hpp>
#include <boost/program_options/parsers.hpp>

#include <fstream>
#include <iostream>

#include "LibConfiguration/yaml_parser.h"

namespace service {

namespace options = boost::program_options;

ParsedArguments ParseArguments(const options::options_description& description,
                               const std::vector<std::string>& arguments) {
  options::variables_map values;
  try {
    const options::positional_options_description no_positional;
    options::store(options::command_line_parser(arguments)
                       .options(description)
                       .positional(no_positional)
                       .run(),
                   values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << description;
    return ExitCode::kUsage;
  }
  if (values.count("help") != 0) {
    std::cout << description;
    return ExitCode::kDone;
  }
  return values;
}

std::optional<std::string> TextOption(const options::variables_map& values,
                                      const std::string& name) {
  if (values.count(name) == 0)
    return std::nullopt;
  return values[name].as<std::string>();
}

std::optional<base::Endpoint> EndpointOption(
    const options::variables_map& values,
    const std::string& name) {
  const auto text = TextOption(values, name);
  if (!text) {
    std::cerr << "--" << name << " IP:PORT is missing\n";
    return std::nullopt;
  }
  const auto endpoint = base::ParseEndpoint(*text);
  if (!endpoint)
    std::cerr << "--" << name << ": " << *text << " is not IP:PORT\n";
  return endpoint;
}

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::string text(configuration::kMaxTextBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (file.bad() || text.size() > configuration::kMaxTextBytes) {
    std::cerr << path << ": cannot be read or exceeds the size limit\n";
    return std::nullopt;
  }
  return text;
}

}  // namespace service
