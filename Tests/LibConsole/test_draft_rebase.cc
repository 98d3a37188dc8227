#include <doctest/doctest.h>

#include <variant>

#include "LibConfiguration/difference.h"
#include "LibConfiguration/document_reader.h"
#include "LibConfiguration/example_document.h"
#include "LibConsole/draft_rebase.h"

using configuration::BackendServerState;
using configuration::Document;
using console::Draft;

namespace {

const Document kBase = configuration::MakeDocument();

// Returns a draft that started from kBase and was edited into `mine`.
Draft DraftOf(const Document& mine) {
  Draft draft = console::StartDraft({base::ConfigurationVersion(12), kBase});
  draft.m_root =
      console::StartDraft({base::ConfigurationVersion(12), mine}).m_root;
  return draft;
}

Document Rebase(const Draft& draft, const Document& theirs) {
  const Draft rebased =
      console::RebaseDraft(draft, {base::ConfigurationVersion(13), theirs});
  CHECK(rebased.m_base_version.value() == 13);
  CHECK(console::BaseDocumentOf(rebased) == theirs);
  const auto read = configuration::ReadDocument(rebased.m_root);
  REQUIRE(std::holds_alternative<Document>(read));
  return std::get<Document>(read);
}

std::string Difference(const Document& before, const Document& after) {
  return ToString(configuration::DifferenceBetween(before, after));
}

}  // namespace

TEST_CASE("changes to different values of one server are both kept") {
  Document mine = kBase;
  Document theirs = kBase;
  Document both = kBase;
  for (Document* document : {&mine, &both})
    document->m_services[0].m_backend_servers[0].m_slots = 1;
  for (Document* document : {&theirs, &both})
    document->m_services[0].m_backend_servers[0].m_state =
        BackendServerState::kDraining;

  CHECK(Difference(both, Rebase(DraftOf(mine), theirs)) == "");
}

TEST_CASE("when both sides change one value, the draft's value is kept") {
  Document mine = kBase;
  Document theirs = kBase;
  mine.m_services[0].m_backend_servers[0].m_slots = 1;
  theirs.m_services[0].m_backend_servers[0].m_slots = 2;

  CHECK(Difference(mine, Rebase(DraftOf(mine), theirs)) == "");
}

TEST_CASE("additions and removals of both sides are kept") {
  Document mine = kBase;
  mine.m_services[0].m_backend_servers.erase(
      mine.m_services[0].m_backend_servers.begin());
  Document theirs = kBase;
  configuration::Service& added =
      theirs.m_services.emplace_back(kBase.m_services[0]);
  added.m_name = "added";
  added.m_address.m_port = 9;
  added.m_backend_servers.clear();
  Document both = theirs;
  both.m_services[0] = mine.m_services[0];

  CHECK(Difference(both, Rebase(DraftOf(mine), theirs)) == "");
  const Document swapped = Rebase(DraftOf(theirs), mine);
  CHECK(Difference(both, swapped) == "");
}

TEST_CASE("a list with repeated names is taken from the draft") {
  Draft draft = DraftOf(kBase);
  auto& services = draft.m_root.m_items.front();
  services.m_items.push_back(services.m_items.front());
  Document theirs = kBase;
  theirs.m_services[0].m_backend_servers[0].m_slots = 1;

  const Draft rebased =
      console::RebaseDraft(draft, {base::ConfigurationVersion(13), theirs});

  CHECK(rebased.m_root.m_items.front().m_items.size() ==
        services.m_items.size());
}
