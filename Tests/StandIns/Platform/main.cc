// StandInPlatform: the platform's object API and VM list for tests.

#include <asio.hpp>
#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <iostream>
#include <istream>
#include <string>

#include "StandIns/Platform/platform_server.h"

namespace {

namespace options = boost::program_options;

void PrintLine(const std::string& line) {
  std::cout << line << '\n' << std::flush;
}

// Reads commands until the end of standard input, then stops the process.
class CommandReader {
 public:
  CommandReader(asio::io_context& context, stand_ins::PlatformServer& server)
      : m_context(context), m_server(server), m_input(context, ::dup(0)) {
    ReadLine();
  }

 private:
  void ReadLine() {
    asio::async_read_until(m_input, m_buffer, '\n',
                           [this](const std::error_code& error, std::size_t) {
                             if (error) {
                               m_context.stop();
                               return;
                             }
                             ExecuteLine();
                             ReadLine();
                           });
  }

  void ExecuteLine() {
    std::istream stream(&m_buffer);
    std::string line;
    std::getline(stream, line);
    if (!line.empty())
      PrintLine(m_server.Execute(line));
  }

  asio::io_context& m_context;
  stand_ins::PlatformServer& m_server;
  asio::posix::stream_descriptor m_input;
  asio::streambuf m_buffer{64UL * 1024UL};
};

options::variables_map ParseOptions(int argc, char** argv) {
  options::options_description description("StandInPlatform");
  description.add_options()(
      "address", options::value<std::string>()->default_value("127.0.0.1"))(
      "port", options::value<std::uint16_t>()->default_value(0))(
      "seed", options::value<std::uint64_t>()->default_value(1))(
      "writes-per-second", options::value<std::size_t>()->default_value(400))(
      "reads-per-second", options::value<std::size_t>()->default_value(2000));
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  return values;
}

int Run(const options::variables_map& values) {
  const auto address =
      base::ParseIpv4Address(values["address"].as<std::string>());
  if (!address) {
    std::fprintf(stderr, "--address is not an IPv4 address\n");
    return 2;
  }
  asio::io_context context(1);
  stand_ins::PlatformServer server(
      context, {*address, values["port"].as<std::uint16_t>()},
      {values["writes-per-second"].as<std::size_t>(),
       values["reads-per-second"].as<std::size_t>()});
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const std::error_code&, int) { context.stop(); });
  PrintLine("{\"event\":\"listening\",\"http\":\"" +
            base::ToString(server.Listening()) + "\",\"seed\":" +
            std::to_string(values["seed"].as<std::uint64_t>()) + "}");
  const CommandReader reader(context, server);
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(ParseOptions(argc, argv));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "StandInPlatform: %s\n", error.what());
    return 1;
  }
}
