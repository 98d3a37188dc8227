#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "LibConfiguration/document_writer.h"
#include "LibConfiguration/example_document.h"
#include "Services/captured_streams.h"
#include "Services/temporary_file.h"
#include "platform_control.h"
#include "submit_command.h"

using configuration::Document;

namespace {

// Runs the submit subcommand against the platform stand-in and captures the
// output.
class Fixture {
 public:
  // Returns the exit code.
  int Submit(const Document& document, std::vector<std::string> more = {}) {
    const TemporaryFile file("submitted.yaml",
                             configuration::WriteDocument(document));
    std::vector<std::string> arguments{"--platform",
                                       base::ToString(m_platform.endpoint()),
                                       "--document", file.path()};
    arguments.insert(arguments.end(), more.begin(), more.end());
    const CapturedStreams streams;
    const int code = service::RunSubmit(arguments);
    m_output = streams.Output();
    m_errors = streams.Errors();
    return code;
  }

  integration::PlatformControl& platform() { return m_platform; }
  const std::string& output() const { return m_output; }
  const std::string& errors() const { return m_errors; }

 private:
  integration::PlatformControl m_platform;
  std::string m_output;
  std::string m_errors;
};

// The example document without a submission, as made from no version.
Document MakeFirst() {
  Document document = configuration::MakeDocument();
  document.m_submission = {};
  return document;
}

}  // namespace

TEST_CASE(
    "a document is accepted, and a second one with the same base is not") {
  Fixture fixture;

  CHECK(fixture.Submit(MakeFirst()) == 0);
  const auto version = fixture.platform().DocumentVersion();
  CHECK(fixture.output().find("accepted as version " +
                              std::to_string(version)) != std::string::npos);
  Document stale = MakeFirst();
  stale.m_services.pop_back();
  CHECK(fixture.Submit(stale) == 3);
  CHECK(fixture.errors().find("service dossier: removed") != std::string::npos);
  CHECK(fixture.Submit(stale, {"--base", "0"}) == 3);
  CHECK(fixture.platform().DocumentVersion() == version);
  CHECK(fixture.Submit(stale, {"--base", std::to_string(version)}) == 0);
}

TEST_CASE("a document that may not replace the one in force is refused") {
  Fixture fixture;
  REQUIRE(fixture.Submit(MakeFirst()) == 0);
  const auto version = fixture.platform().DocumentVersion();
  Document next = MakeFirst();
  std::swap(next.m_services[0].m_address, next.m_services[1].m_address);

  CHECK(fixture.Submit(next, {"--base", std::to_string(version)}) == 1);
  CHECK(fixture.errors().find("address_conflict") != std::string::npos);
  CHECK(fixture.platform().DocumentVersion() == version);
}

TEST_CASE("a submission is reported as accepted if its response is lost") {
  Fixture fixture;
  fixture.platform().Post("lose-answers?count=1");

  CHECK(fixture.Submit(MakeFirst()) == 0);

  const auto version = fixture.platform().DocumentVersion();
  CHECK(fixture.output().find("accepted as version " +
                              std::to_string(version)) != std::string::npos);
}

TEST_CASE("submit exits with the code for an unreachable platform") {
  Fixture fixture;
  fixture.platform().Post("outage?mode=refuse");

  CHECK(fixture.Submit(MakeFirst(), {"--deadline", "1"}) == 4);

  fixture.platform().Post("outage?mode=off");
  CHECK(fixture.platform().DocumentVersion() == 0);
}
