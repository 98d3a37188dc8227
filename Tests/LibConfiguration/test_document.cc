#include <doctest/doctest.h>

#include <string>

#include "LibConfiguration/difference.h"
#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/document_validation.h"
#include "LibConfiguration/document_writer.h"
#include "LibConfiguration/example_document.h"

using configuration::Document;
using configuration::MakeDocument;
using configuration::MakeServer;
using configuration::ProblemKind;
using configuration::Problems;

namespace {

std::string ListKindsAndPaths(const Problems& problems) {
  std::string text;
  for (const auto& problem : problems)
    text +=
        std::string(NameOf(configuration::kProblemKindNames, problem.m_kind)) +
        " " + problem.m_path + "\n";
  return text;
}

}  // namespace

TEST_CASE(
    "a document with only the required keys is read with default values") {
  const auto read = configuration::ReadDocument(
      "submission: first\n"
      "base_version: 7\n"
      "services:\n"
      "  - name: licence\n"
      "    address: 127.64.0.1:443\n"
      "    backend_servers:\n"
      "      - {name: tap-1, data_centre: uppsala, address: 127.16.0.1:5555,\n"
      "         health: 127.16.0.1:8080, slots: 3, connections: 2000}\n");

  REQUIRE(std::holds_alternative<Document>(read));
  Document expected = MakeDocument();
  expected.m_services.pop_back();
  expected.m_services[0].m_backend_servers.pop_back();
  CHECK(std::get<Document>(read) == expected);
}

TEST_CASE("errors of single fields contain the path of the key") {
  const auto read = configuration::ReadDocument(
      "submission: first\n"
      "base_version: 7\n"
      "services:\n"
      "  - name: licence\n"
      "    address: 127.64.0.1:443\n"
      "    objective: {broken_flows: 1.5, wait_ms: nan}\n"
      "    backend_servers:\n"
      "      - {name: a b, address: 127.16.0.1:5555, state: gone,\n"
      "         health: 127.16.0.1:8080, slots: 0, connections: 2000}\n");

  REQUIRE(std::holds_alternative<Problems>(read));
  const auto& problems = std::get<Problems>(read);
  CHECK(ListKindsAndPaths(problems) ==
        "out_of_range services[0].objective.broken_flows\n"
        "wrong_type services[0].objective.wait_ms\n"
        "wrong_type services[0].backend_servers[0].name\n"
        "missing_key services[0].backend_servers[0].data_centre\n"
        "out_of_range services[0].backend_servers[0].slots\n"
        "wrong_type services[0].backend_servers[0].state\n");
  CHECK(problems[0].m_position == configuration::Position{6, 31});
}

TEST_CASE(
    "duplicate names, duplicate addresses and base versions that do not "
    "decrease are refused") {
  Document document = MakeDocument();
  document.m_previous_submissions = {{"zeroth", base::ConfigurationVersion(7)}};
  document.m_services[1].m_address = document.m_services[0].m_address;
  document.m_services[1].m_backend_servers.push_back(MakeServer("file-1", 1));
  document.m_services.push_back(document.m_services[0]);
  document.m_services[2].m_address.m_port = 80;
  document.m_services[2].m_backend_servers.clear();

  CHECK(ListKindsAndPaths(Validate(document)) ==
        "contradiction previous_submissions[0].base_version\n"
        "address_conflict services[1].address\n"
        "duplicate_name services[1].backend_servers[1].name\n"
        "address_conflict services[1].backend_servers[1].address\n"
        "duplicate_name services[2].name\n");
}

TEST_CASE("a server with more slots than connections is refused") {
  Document document = MakeDocument();
  document.m_services[0].m_backend_servers[1].m_slots = 2001;

  CHECK(ListKindsAndPaths(Validate(document)) ==
        "contradiction services[0].backend_servers[1].slots\n");
}

TEST_CASE("a server that moves to another service needs a higher incarnation") {
  const Document previous = MakeDocument();
  Document next = previous;
  auto& from = next.m_services[0].m_backend_servers;
  next.m_services[1].m_backend_servers.push_back(from[1]);
  from.pop_back();

  const auto refused = ValidateReplacement(previous, next);
  next.m_services[1].m_backend_servers[1].m_incarnation = 2;
  const auto accepted = ValidateReplacement(previous, next);

  CHECK(ListKindsAndPaths(refused) ==
        "incarnation services[1].backend_servers[1].incarnation\n");
  CHECK(accepted.empty());
}

TEST_CASE(
    "an incarnation must not decrease and must increase with a new address") {
  Document previous = MakeDocument();
  previous.m_services[0].m_backend_servers[0].m_incarnation = 5;
  Document next = MakeDocument();
  next.m_services[0].m_backend_servers[0].m_incarnation = 4;
  next.m_services[0].m_backend_servers[1].m_address.m_address =
      base::Ipv4Address(0x7f100009U);

  const auto problems = ValidateReplacement(previous, next);

  CHECK(ListKindsAndPaths(problems) ==
        "incarnation services[0].backend_servers[0].incarnation\n"
        "incarnation services[0].backend_servers[1].incarnation\n"
        "drain_first services[0]\n");
  CHECK(configuration::HasError(problems));
}

TEST_CASE("two services cannot exchange their addresses in one replacement") {
  const Document previous = MakeDocument();
  Document next = previous;
  std::swap(next.m_services[0].m_address, next.m_services[1].m_address);

  CHECK(ListKindsAndPaths(ValidateReplacement(previous, next)) ==
        "address_conflict services[0].address\n"
        "address_conflict services[1].address\n");
}

TEST_CASE("a service whose address changes gives a warning") {
  const Document previous = MakeDocument();
  Document next = previous;
  next.m_services[0].m_address = {base::Ipv4Address(0x7f400009U), 443};

  const auto problems = ValidateReplacement(previous, next);

  CHECK(ListKindsAndPaths(problems) == "drain_first services[0].address\n");
  CHECK_FALSE(configuration::HasError(problems));
}

TEST_CASE(
    "removing an active server gives a warning, removing a draining one "
    "does not") {
  Document previous = MakeDocument();
  previous.m_services[0].m_backend_servers[0].m_state =
      configuration::BackendServerState::kDraining;
  Document next = previous;
  next.m_services[0].m_backend_servers.clear();

  const auto read = configuration::ReadReplacement(
      configuration::WriteDocument(next), previous);

  REQUIRE(std::holds_alternative<configuration::CheckedDocument>(read));
  const auto& checked = std::get<configuration::CheckedDocument>(read);
  CHECK(checked.m_document == next);
  CHECK(ListKindsAndPaths(checked.m_warnings) == "drain_first services[0]\n");
}

TEST_CASE("the difference between two documents is listed field by field") {
  const Document before = MakeDocument();
  Document after = before;
  after.m_submission.m_id = "second";
  after.m_services[0].m_objective.m_wait = std::chrono::milliseconds(250);
  after.m_services[0].m_backend_servers[0].m_slots = 4;
  after.m_services[0].m_backend_servers[1].m_name = "tap-3";
  after.m_services.erase(after.m_services.begin() + 1);
  after.m_services.push_back(configuration::MakeService("feed", 4));

  CHECK(ToString(DifferenceBetween(before, after)) ==
        "service dossier: removed\n"
        "service licence: objective.wait_ms: 1000 -> 250\n"
        "service licence: backend server tap-2: removed\n"
        "service licence: backend server tap-1: slots: 3 -> 4\n"
        "service licence: backend server tap-3: added\n"
        "service feed: added\n");
  CHECK(DifferenceBetween(after, after).empty());
}
