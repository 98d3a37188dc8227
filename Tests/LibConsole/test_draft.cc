#include <doctest/doctest.h>

#include <algorithm>
#include <variant>

#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/example_document.h"
#include "LibConsole/draft.h"
#include "LibConsole/draft_action.h"

using configuration::Document;
using console::Draft;
using console::DraftFromFields;
using console::FormFields;

namespace {

console::DocumentInForce InForce() {
  return {base::ConfigurationVersion(12), configuration::MakeDocument()};
}

std::vector<configuration::Service> ServicesOf(const Draft& draft) {
  const auto read = configuration::ReadDocument(draft.m_root);
  REQUIRE(std::holds_alternative<Document>(read));
  return std::get<Document>(read).m_services;
}

}  // namespace

TEST_CASE("a draft converts to form fields and back without loss") {
  const Draft started = console::StartDraft(InForce());

  const auto draft = DraftFromFields(console::FieldsOf(started));

  REQUIRE(draft);
  CHECK(draft->m_base_version.value() == 12);
  CHECK(ServicesOf(*draft) == InForce().m_document.m_services);
  CHECK(console::BaseDocumentOf(*draft) == InForce().m_document);
}

TEST_CASE("fields may arrive in any order and with gaps between the indices") {
  FormFields fields = console::FieldsOf(console::StartDraft(InForce()));
  std::ranges::reverse(fields);
  for (auto& field : fields) {
    const auto place = field.m_name.find("services[1]");
    if (place == 0)
      field.m_name.replace(0, 11, "services[700]");
  }

  const auto draft = DraftFromFields(fields);

  REQUIRE(draft);
  CHECK(ServicesOf(*draft) == InForce().m_document.m_services);
}

TEST_CASE(
    "forms with malformed field names or without a version are rejected") {
  CHECK_FALSE(DraftFromFields({{"services[0].name", "a"}}));
  for (const char* name :
       {"services[", "services[x]", "services[-1]", "services..name",
        "services[0]x<", "services.a.b.c.d.e.f", "services[99999999]"})
    CHECK_FALSE(DraftFromFields({{"base_version", "1"}, {name, "a"}}));
}

TEST_CASE("an empty field counts as a missing key") {
  const auto draft = DraftFromFields({{"base_version", "1"},
                                      {"services[0].name", "licence"},
                                      {"services[0].address", ""},
                                      {"services[0].limits.slots", ""}});

  REQUIRE(draft);
  const auto read = configuration::ReadDocument(draft->m_root);
  REQUIRE(std::holds_alternative<configuration::Problems>(read));
  const auto& problems = std::get<configuration::Problems>(read);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].m_path == "services[0].address");
  CHECK(problems[0].m_kind == configuration::ProblemKind::kMissingKey);
}

TEST_CASE("buttons add and remove services and backend servers") {
  Draft draft = console::StartDraft(InForce());

  Apply(console::ParseAction("remove_server 0 1"), draft);
  Apply(console::ParseAction("remove_service 1"), draft);
  CHECK(ServicesOf(draft).size() == 1);
  CHECK(ServicesOf(draft)[0].m_backend_servers.size() == 1);
  Apply(console::ParseAction("add_service"), draft);
  Apply(console::ParseAction("add_server 1 gävle"), draft);
  Apply(console::ParseAction("remove_server 7 7"), draft);

  const auto fields = console::FieldsOf(draft);
  CHECK(console::FieldValue(
            fields, "services[1].backend_servers[0].data_centre") == "gävle");
}

TEST_CASE("a button value parses to an action that formats to the same value") {
  for (const char* text : {"edit", "review", "add_service", "remove_service 3",
                           "add_server 2 uppsala", "remove_server 1 4"})
    CHECK(ToString(console::ParseAction(text)) == text);
  CHECK(ToString(console::ParseAction("remove_server 1 x")) == "edit");
}
