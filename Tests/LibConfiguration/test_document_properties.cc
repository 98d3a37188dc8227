#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/document_validation.h"
#include "LibConfiguration/document_writer.h"
#include "LibConfiguration/example_document.h"
#include "LibConfiguration/settings_reader.h"

using configuration::Document;

namespace {

std::string MakeName(std::string_view prefix, std::size_t number) {
  return std::string(prefix) + std::to_string(number);
}

double RandomShare() {
  return *rc::gen::inRange(0, 1'000'001) / 1e6;
}

configuration::BackendServer RandomServer(std::size_t number) {
  auto server = configuration::MakeServer(MakeName("s", number),
                                          static_cast<std::uint32_t>(number));
  server.m_connections = *rc::gen::inRange<std::uint64_t>(1, 1'000'001);
  server.m_slots = *rc::gen::inRange<std::uint64_t>(
      1, std::min<std::uint64_t>(server.m_connections, 1024) + 1);
  server.m_incarnation = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 53);
  server.m_state =
      *rc::gen::element(configuration::BackendServerState::kActive,
                        configuration::BackendServerState::kDraining);
  return server;
}

Document RandomDocument() {
  Document document;
  document.m_submission.m_id =
      *rc::gen::element<std::string>("null", "1", "a.b");
  document.m_submission.m_base_version = base::ConfigurationVersion(1000);
  document.m_previous_submissions.resize(*rc::gen::inRange(0, 3));
  std::size_t number = 1;
  for (auto& entry : document.m_previous_submissions) {
    entry.m_id = MakeName("p", number);
    entry.m_base_version = base::ConfigurationVersion(1000 - number++);
  }
  const int services = *rc::gen::inRange(0, 4);
  for (int index = 0; index < services; ++index) {
    const auto host = static_cast<std::uint32_t>(number);
    auto service =
        configuration::MakeService(MakeName("service", number++), host);
    service.m_placement.m_candidates = *rc::gen::inRange(1, 65);
    service.m_placement.m_imbalance_weight = RandomShare();
    service.m_objective.m_broken_flows = RandomShare();
    service.m_limits.m_retry_budget_percent = *rc::gen::inRange(0, 101);
    const int servers = *rc::gen::inRange(0, 5);
    for (int server = 0; server < servers; ++server)
      service.m_backend_servers.push_back(RandomServer(number++));
    document.m_services.push_back(std::move(service));
  }
  return document;
}

// Returns `text` with 1 to 7 random changes: a byte replaced, bytes removed,
// bytes repeated or YAML markup inserted.
std::string Mutate(std::string text) {
  const int changes = *rc::gen::inRange(1, 8);
  for (int index = 0; index < changes && !text.empty(); ++index) {
    const auto offset = *rc::gen::inRange<std::size_t>(0, text.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text[offset] = static_cast<char>(*rc::gen::inRange(0, 256));
        break;
      case 1:
        text.erase(offset, *rc::gen::inRange<std::size_t>(1, 20));
        break;
      case 2:
        text.insert(offset, text.substr(offset, 30));
        break;
      default:
        text.insert(offset, *rc::gen::element<std::string>(
                                "[", "{", "- ", "? ", "&a ", "*a", "!!x ", "\n",
                                "\t", "'", "\"", "|\n", "%", "---\n", ": "));
    }
  }
  return text;
}

}  // namespace

TEST_CASE("a written document reads back as an equal document") {
  CHECK(rc::check([] {
    const Document document = RandomDocument();

    const auto read =
        configuration::ReadDocument(configuration::WriteDocument(document));

    RC_ASSERT(std::holds_alternative<Document>(read));
    RC_ASSERT(std::get<Document>(read) == document);
  }));
}

TEST_CASE(
    "a corrupted document is refused with errors or read as a valid one") {
  CHECK(rc::check([] {
    const Document original = RandomDocument();
    const std::string text = Mutate(configuration::WriteDocument(original));

    const auto read = configuration::ReadDocument(text);

    if (const auto* problems = std::get_if<configuration::Problems>(&read)) {
      RC_ASSERT(!problems->empty());
      RC_ASSERT(problems->front().m_position.m_line > 0);
      return;
    }
    const auto& document = std::get<Document>(read);
    RC_ASSERT(configuration::Validate(document).empty());
    const auto again =
        configuration::ReadDocument(configuration::WriteDocument(document));
    RC_ASSERT(std::get<Document>(again) == document);
  }));
}

TEST_CASE("random bytes are refused without a crash") {
  CHECK(rc::check([] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>());

    RC_ASSERT(
        !std::holds_alternative<Document>(configuration::ReadDocument(bytes)));
    RC_ASSERT(!std::holds_alternative<configuration::Settings>(
        configuration::ReadSettings(bytes)));
  }));
}
