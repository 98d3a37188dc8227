#include "admin_request.h"

#include <asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <chrono>
#include <iostream>
#include <optional>
#include <utility>
#include <variant>

#include "LibHttp/client.h"
#include "command_line.h"

namespace service {

namespace {

constexpr base::Duration kTimeout = std::chrono::seconds(5);
constexpr std::uint16_t kStatusOk = 200;

boost::program_options::options_description MakeDescription(
    const AdminPage& page) {
  boost::program_options::options_description description(
      "coltsfootdale " + page.m_subcommand + " --admin IP:PORT\n" +
      page.m_summary +
      "\nExit codes: 0 printed, 2 usage, 4 unreachable.\n\nOptions");
  description.add_options()("help", "print this text")(
      "admin", boost::program_options::value<std::string>(),
      "the admin address of any balancer");
  return description;
}

base::Outcome<http::Response> Fetch(const base::Endpoint& admin,
                                    const std::string& path) {
  asio::io_context context;
  http::Client client(context);
  http::Request request;
  request.m_endpoint = admin;
  request.m_path = path;
  request.m_timeout = kTimeout;
  std::optional<base::Outcome<http::Response>> result;
  client.Send(request, [&result](base::Outcome<http::Response> outcome) {
    result = std::move(outcome);
  });
  context.run();
  return std::move(*result);
}

}  // namespace

ExitCode PrintAdminPage(const AdminPage& page,
                        const std::vector<std::string>& arguments) {
  const auto parsed = ParseArguments(MakeDescription(page), arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed))
    return *code;
  const auto admin = EndpointOption(
      std::get<boost::program_options::variables_map>(parsed), "admin");
  if (!admin)
    return ExitCode::kUsage;
  const auto response = Fetch(*admin, page.m_path);
  if (!response) {
    std::cerr << ToString(*admin) << ": " << response.error().message() << "\n";
    return ExitCode::kUnreachable;
  }
  if (response.value().m_status != kStatusOk) {
    std::cerr << ToString(*admin)
              << ": the admin server responded with HTTP status "
              << response.value().m_status << "\n";
    return ExitCode::kUnreachable;
  }
  std::cout << response.value().m_body << std::flush;
  return ExitCode::kDone;
}

}  // namespace service
