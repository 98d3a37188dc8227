#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibConfiguration/document_writer.h"
#include "LibConfiguration/example_document.h"
#include "Services/captured_streams.h"
#include "Services/temporary_file.h"
#include "check_command.h"
#include "report_command.h"
#include "status_command.h"
#include "submit_command.h"

TEST_CASE("every subcommand prints its help and refuses wrong usage") {
  for (const auto run : {service::RunCheck, service::RunSubmit,
                         service::RunStatus, service::RunReport}) {
    const CapturedStreams streams;

    CHECK(run({"--help"}) == 0);
    CHECK(streams.Output().find("Exit codes") != std::string::npos);
    CHECK(run({"--colour"}) == 2);
    CHECK(run({}) == 2);
  }
}

TEST_CASE(
    "check accepts a valid document and lists every error of an invalid one") {
  const CapturedStreams streams;
  const TemporaryFile valid("valid.yaml", configuration::WriteDocument(
                                              configuration::MakeDocument()));
  const TemporaryFile invalid("invalid.yaml", "services: 1\ncolour: red\n");

  CHECK(service::RunCheck({"--document", valid.path()}) == 0);
  CHECK(service::RunCheck({"--document", invalid.path()}) == 1);
  CHECK(streams.Errors() ==
        "invalid.yaml: error: line 1, column 11: services: a list is expected "
        "(wrong_type)\n"
        "invalid.yaml: error: line 2, column 1: colour: there is no such key "
        "(unknown_key)\n");
  CHECK(service::RunCheck({"--document", "absent.yaml"}) == 2);
}

TEST_CASE("check prints the difference from the previous document") {
  const CapturedStreams streams;
  auto document = configuration::MakeDocument();
  const TemporaryFile previous("previous.yaml",
                               configuration::WriteDocument(document));
  document.m_services[0].m_backend_servers.pop_back();
  const TemporaryFile next("next.yaml", configuration::WriteDocument(document));

  const int code = service::RunCheck(
      {"--document", next.path(), "--previous", previous.path()});

  CHECK(code == 0);
  CHECK(streams.Output() ==
        "next.yaml: valid replacement\n"
        "service licence: backend server tap-2: removed\n");
  CHECK(streams.Errors().find("warning") != std::string::npos);
}

TEST_CASE(
    "status fails without a balancer, and report with a malformed address") {
  const CapturedStreams streams;

  CHECK(service::RunStatus({"--admin", "127.0.0.1:1"}) == 4);
  CHECK(service::RunReport({"--admin", "127.0.0.1"}) == 2);
}
