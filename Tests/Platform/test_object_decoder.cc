#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "platform/object_decoder.h"
#include "platform/server_decoder.h"
#include "platform/stored_object.h"

namespace adapter {

namespace {

std::string ServerObject(const std::string& name, const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","revision":7},"spec":)" + spec +
         "}";
}

const std::string kSpec =
    R"({"backend":"huvo11a","address":"10.128.0.9:8080","zone":"hall-1",)"
    R"("version":"v1","max_concurrency":3,"state":"ready",)"
    R"("warmup_left_ms":1500,"seq":4,"born":1787859612135})";

}  // namespace

TEST_CASE("the object of a server is decoded into a record") {
  FieldProblems problems;

  const auto record =
      DecodeServer(ParseObject(ServerObject("i-7f3a91c2", kSpec)), problems);

  REQUIRE(record);
  CHECK(record->m_name == steering::ServerName("i-7f3a91c2"));
  CHECK(record->m_identity == steering::WireIdentity(0x7f3a91c2));
  CHECK(record->m_service == "huvo11a");
  CHECK(ToString(record->m_endpoint) == "10.128.0.9:8080");
  CHECK(record->m_slots == 3);
  CHECK(record->m_incarnation == 1787859612135);
  CHECK(record->m_sequence == 4);
  CHECK(record->m_revision == base::StoreRevision(7));
}

TEST_CASE(
    "unusable objects of another writer are ignored, and usable objects of the "
    "same page are kept") {
  // Returns a spec with `fields` and those that all specs have. Each spec that
  // is built with this function is complete except for one fault.
  const auto make_spec = [](const std::string& fields) {
    return R"({"warmup_left_ms":0,"version":"v1","seq":4,)" + fields + "}";
  };
  const std::string unusable_specs[] = {
      "7",
      "null",
      R"("text")",
      R"({"backend":"a"})",
      make_spec(
          R"("backend":"a","address":"x","zone":"z","max_concurrency":3,"state":"ready")"),
      make_spec(
          R"("backend":7,"address":"1.2.3.4:5","zone":"z","max_concurrency":3,"state":"ready")"),
      make_spec(
          R"("backend":"a","address":"1.2.3.4:5","zone":"z","max_concurrency":3,"state":"asleep")"),
      make_spec(
          R"("backend":"a","address":"1.2.3.4:5","zone":"z","max_concurrency":0,"state":"ready")"),
  };
  // Names that are too long for a snapshot.
  const std::string long_name(2000, 'g');
  const std::string long_service =
      make_spec(R"("backend":")" + long_name +
                R"(","address":"1.2.3.4:5","zone":"z","max_concurrency":3,)"
                R"("state":"ready")");
  std::string items = ServerObject("i-1a", kSpec);
  for (const std::string& spec : unusable_specs)
    items.append(",").append(ServerObject("i-2b", spec));
  // Names without hexadecimal digits, and with more than an identity has.
  items += ",17," + ServerObject("zzz", kSpec) + "," +
           ServerObject("i-0123456789abcdef0", kSpec) + "," +
           ServerObject("i-3c", long_service) + "," +
           ServerObject("i-4d" + long_name, kSpec);

  const CollectionResponse response = DecodePage(
      Collection::kServers,
      R"({"items":[)" + items + R"(],"more":false,"store_revision":9})");

  CHECK(response.m_objects.m_servers.size() == 1);
  CHECK(response.m_objects.m_ignored == std::size(unusable_specs) + 5);
  CHECK(std::holds_alternative<catalog::PageResponse>(response.m_result));
}

TEST_CASE("an event with an unusable object removes the server") {
  const CollectionResponse response = DecodeChanges(
      Collection::kServers,
      R"({"events":[{"deleted":false,"object":)" + ServerObject("i-1", "{}") +
          R"(},{"deleted":true,"object":)" + ServerObject("i-2", kSpec) +
          R"(}],"store_revision":12})");

  REQUIRE(response.m_objects.m_servers.size() == 2);
  CHECK_FALSE(response.m_objects.m_servers[0].m_record);
  CHECK_FALSE(response.m_objects.m_servers[1].m_record);
}

TEST_CASE(
    "a page that announces more pages but contains no name is malformed") {
  const CollectionResponse response = DecodePage(
      Collection::kServers, R"({"items":[],"more":true,"store_revision":9})");

  CHECK(std::get<catalog::CallFailure>(response.m_result) ==
        catalog::CallFailure::kMalformed);
}

TEST_CASE("each unusable field of a server is reported with its value") {
  FieldProblems problems;

  const auto record = DecodeServer(
      ParseObject(ServerObject(
          "i-2b", R"({"backend":"a","address":7,"zone":"z","version":"v1",)"
                  R"("max_concurrency":3,"state":"asleep",)"
                  R"("warmup_left_ms":0,"seq":4})")),
      problems);

  CHECK_FALSE(record);
  REQUIRE(problems.list().size() == 2);
  CHECK(ToString(problems.list()[0]) == "i-2b: address is 7: object_ignored");
  CHECK(ToString(problems.list()[1]) ==
        "i-2b: state is \"asleep\": object_ignored");
}

// An object of another writer was used as a server: it named the address of
// another service, or had so many slots that it drew all openings.
TEST_CASE(
    "an object with a field missing, of another type or range is ignored") {
  const struct {
    const char* m_field;
    std::vector<const char*> m_values;
  } odd_fields[] = {
      {"backend", {"7", "null", R"("")"}},
      {"address",
       {"7", "null", "[]", R"("10.128.0.9")", R"("10.128.0.9:")",
        R"("10.128.0.9:0")", R"("10.128.0.9:65536")", R"("10.128.0.9:-1")",
        R"("10.128.0.9:99999999999999999999")", R"("10.128.0.256:80")",
        R"("0.0.0.0:8080")", R"("10.128.0.9:80 ")", R"("[::1]:8080")"}},
      {"zone", {"7", "null", R"("")"}},
      {"version", {"7", "null", "{}"}},
      {"max_concurrency",
       {"0", "-1", "1.5", "1e300", "100001", "5000000000", R"("3")", "null",
        "99999999999999999999999999"}},
      {"state", {"7", "null", R"("asleep")"}},
      {"warmup_left_ms",
       {"-1", "1.5", "1e300", "900000000000", R"("0")", "null"}},
      {"seq", {"-1", "1.5", "1e300", "18446744073709551616", R"("4")", "null"}},
  };
  FieldProblems none;
  REQUIRE(DecodeServer(ParseObject(ServerObject("i-2b", kSpec)), none));
  for (const auto& [field, values] : odd_fields) {
    // The field is named otherwise in an object that lacks it.
    std::string lacking = kSpec;
    lacking.replace(lacking.find(field), std::string(field).size(), "other");
    std::vector<std::string> specs = {lacking};
    const std::size_t start = kSpec.find(field) + std::string(field).size() + 2;
    const std::size_t end = kSpec.find(',', start);
    for (const char* value : values)
      specs.push_back(std::string(kSpec).replace(start, end - start, value));
    for (const std::string& spec : specs) {
      INFO(spec);
      FieldProblems problems;
      CHECK_FALSE(
          DecodeServer(ParseObject(ServerObject("i-2b", spec)), problems));
      REQUIRE(problems.list().size() == 1);
      CHECK(problems.list()[0].m_field == field);
      CHECK(problems.list()[0].m_consequence == Consequence::kObjectIgnored);
    }
  }
}

TEST_CASE("the start of a server may be missing, and must be a whole number") {
  const auto spec_with = [](const std::string& born) {
    return kSpec.substr(0, kSpec.find(R"(,"born")")) + born + "}";
  };
  FieldProblems problems;
  CHECK(
      DecodeServer(ParseObject(ServerObject("i-2b", spec_with(""))), problems));

  for (const char* born : {"-1", "1.5", "1e300", R"("7")", "null"}) {
    INFO(born);
    CHECK_FALSE(
        DecodeServer(ParseObject(ServerObject(
                         "i-2b", spec_with(std::string(R"(,"born":)") + born))),
                     problems));
  }
}

// One object whose text could not be parsed made the whole response unusable,
// and the store sent the same response again.
TEST_CASE("whatever the content of an object is, the others are used") {
  const std::string odd_specs[] = {
      R"({"note":"half a pair \ud83d"})",
      R"({"note":1e400})",
      R"({"note":-1e999999999})",
      R"({"note":NaN})",
      "{\"note\":\"\xff\xc3\"}",
      std::string("{\"note\":\"a\0b\n\"}", 15),
      R"({"note":"\q"})",
      R"({"note":01})",
      R"({"note":tru})",
      R"({"note":"open})",
      R"({"note":[})",
      R"({"note":7}})",
      "{",
      "}",
      "",
      kSpec + "}",
      kSpec + " 7",
      R"({"other":1,)" + kSpec.substr(1, kSpec.size() - 2) +
          R"(,"note":1e400})",
  };
  for (const std::string& spec : odd_specs) {
    INFO(spec);
    const std::string odd = ServerObject("i-2b", spec);
    const std::string first = ServerObject("i-1a", kSpec);
    const std::string last = ServerObject("i-3c", kSpec);

    std::string list = R"({"items":[)";
    list.append(first).append(",").append(odd).append(",").append(last);
    const CollectionResponse page = DecodePage(
        Collection::kServers, list + R"(],"more":false,"store_revision":9})");
    REQUIRE(page.m_objects.m_servers.size() == 2);
    CHECK(page.m_objects.m_servers[0].m_name == steering::ServerName("i-1a"));
    CHECK(page.m_objects.m_servers[1].m_name == steering::ServerName("i-3c"));
    CHECK(page.m_objects.m_ignored == 1);
    CHECK(page.m_objects.m_problems.list().size() == 1);

    const auto event = [](const std::string& object) {
      return R"({"deleted":false,"object":)" + object + "}";
    };
    const CollectionResponse changes =
        DecodeChanges(Collection::kServers,
                      R"({"events":[)" + event(first) + "," + event(odd) + "," +
                          event(last) + R"(],"store_revision":9})");
    std::size_t records = 0;
    for (const edge::ServerEvent& server : changes.m_objects.m_servers) {
      records += server.m_record ? 1 : 0;
      CHECK((server.m_record.has_value() ||
             server.m_name == steering::ServerName("i-2b")));
    }
    CHECK(records == 2);
    CHECK(changes.m_objects.m_ignored == 1);
  }
}

TEST_CASE("an object whose content can no longer be parsed is removed") {
  const CollectionResponse response = DecodeChanges(
      Collection::kServers, R"({"events":[{"deleted":false,"object":)" +
                                ServerObject("i-1", R"({"note":1e400})") +
                                R"(}],"store_revision":12})");

  REQUIRE(response.m_objects.m_servers.size() == 1);
  CHECK(response.m_objects.m_servers[0].m_name == steering::ServerName("i-1"));
  CHECK_FALSE(response.m_objects.m_servers[0].m_record);
}

// The balancer could not encode changes for its peers.
// An unbalanced object was left out of the changes, so that the record that it
// replaced stayed in use.
TEST_CASE("a server whose record was replaced by unbalanced bytes is removed") {
  for (const char* spec : {"{", R"({"note":"open})", R"({"note":7}})", "[[1"}) {
    CAPTURE(spec);
    std::string events = R"({"events":[{"deleted":false,"object":)";
    events += ServerObject("i-1", spec);
    events += R"(},{"deleted":false,"object":)" + ServerObject("i-2", kSpec);
    const CollectionResponse response = DecodeChanges(
        Collection::kServers, events + R"(}],"store_revision":12})");

    REQUIRE(response.m_objects.m_servers.size() == 2);
    CHECK(response.m_objects.m_servers[0].m_name ==
          steering::ServerName("i-1"));
    CHECK_FALSE(response.m_objects.m_servers[0].m_record);
    CHECK(response.m_objects.m_servers[1].m_record);
  }
}

// The events behind the unreadable one were lost, and the watch went on behind
// them: a draining server got openings until it left.
TEST_CASE("the events behind an unreadable one of a watch are read") {
  std::string levels = R"({"tree":[0)";
  for (int level = 0; level < 200; ++level) {
    levels += R"(,{"level":1,"values":[0)";
    for (int value = 0; value < 240; ++value)
      levels += ",100";
    levels += R"(],"below":[0)";
  }
  std::string draining = kSpec;
  draining.replace(draining.find("ready"), 5, "draining");
  const CollectionResponse response = DecodeChanges(
      Collection::kServers,
      R"({"events":[{"deleted":false,"object":)" +
          ServerObject("agent", levels) + R"(},{"deleted":false,"object":)" +
          ServerObject("i-1", draining) + R"(},{"deleted":true,"object":)" +
          ServerObject("i-2", kSpec) + R"(}],"store_revision":12})");

  const auto& servers = response.m_objects.m_servers;
  REQUIRE(servers.size() == 3);
  CHECK_FALSE(servers[0].m_record);
  REQUIRE(servers[1].m_record);
  CHECK(servers[1].m_record->m_state == steering::ServerState::kDraining);
  CHECK(servers[2].m_name == steering::ServerName("i-2"));
}

TEST_CASE("a watch with an event that names no object is followed by a list") {
  for (const char* event :
       {R"({"deleted":false,"object":{"meta":{"name":"i-1)",
        R"({"object":{"meta":{"name":"i-1"},"spec":[},"deleted":true})"}) {
    CAPTURE(event);
    const CollectionResponse response = DecodeChanges(
        Collection::kServers,
        R"({"events":[)" + std::string(event) + R"(],"store_revision":12})");

    REQUIRE(std::holds_alternative<catalog::CallFailure>(response.m_result));
    CHECK(std::get<catalog::CallFailure>(response.m_result) ==
          catalog::CallFailure::kMalformed);
  }
}

// The next page was requested after the last name that was read, so a page with
// unbalanced objects alone was requested again and again.
TEST_CASE("the page behind an unbalanced object starts after its name") {
  const CollectionResponse response = DecodePage(
      Collection::kServers, R"({"items":[)" + ServerObject("agent", "{[") +
                                R"(],"more":true,"store_revision":12})");

  REQUIRE(std::holds_alternative<catalog::PageResponse>(response.m_result));
  CHECK(std::get<catalog::PageResponse>(response.m_result).m_last_name ==
        "agent");
}

TEST_CASE("an object with a name that no server can have is not removed") {
  const CollectionResponse response = DecodeChanges(
      Collection::kServers, R"({"events":[{"deleted":true,"object":)" +
                                ServerObject(std::string(2000, 'a'), kSpec) +
                                R"(}],"store_revision":12})");

  CHECK(response.m_objects.m_servers.empty());
}

TEST_CASE(
    "an evacuation counts whatever its content is, as its name alone tells the "
    "data centre") {
  for (const char* spec : {"{}", "null", "7", R"({"note":1e400})",
                           R"({"note":"half a pair \ud83d"})", "{",
                           R"({"note":"open})", R"({"note":7}})"}) {
    CAPTURE(spec);
    const CollectionResponse page =
        DecodePage(Collection::kEvacuations,
                   R"({"items":[)" + ServerObject("hall-1", spec) +
                       R"(],"more":false,"store_revision":9})");
    const CollectionResponse changes = DecodeChanges(
        Collection::kEvacuations, R"({"events":[{"deleted":false,"object":)" +
                                      ServerObject("hall-1", spec) +
                                      R"(}],"store_revision":9})");
    for (const CollectionResponse& response : {page, changes}) {
      REQUIRE(response.m_objects.m_evacuations.size() == 1);
      const auto& evacuation = response.m_objects.m_evacuations[0];
      CHECK(evacuation.m_data_centre == base::DataCentreId("hall-1"));
      CHECK(evacuation.m_revision == catalog::Revision(7));
      CHECK(response.m_objects.m_ignored == 0);
    }
  }
}

TEST_CASE("a removed object ends the evacuation, in the order of the events") {
  const std::string object = ServerObject("hall-1", "{}");
  const CollectionResponse response = DecodeChanges(
      Collection::kEvacuations, R"({"events":[{"deleted":false,"object":)" +
                                    object + R"(},{"deleted":true,"object":)" +
                                    object + R"(}],"store_revision":9})");

  REQUIRE(response.m_objects.m_evacuations.size() == 2);
  CHECK(response.m_objects.m_evacuations[0].m_revision);
  CHECK_FALSE(response.m_objects.m_evacuations[1].m_revision);
}

TEST_CASE(
    "an evacuation without a usable name is ignored and reported, and those "
    "beside it count") {
  for (const std::string& name :
       {std::string("7"), std::string(R"("")"), std::string(R"("\ud83d")"),
        '"' + std::string(2000, 'h') + '"'}) {
    CAPTURE(name);
    const CollectionResponse response = DecodePage(
        Collection::kEvacuations, R"({"items":[{"meta":{"name":)" + name +
                                      R"(,"revision":3},"spec":{}},)" +
                                      ServerObject("hall-2", "{}") +
                                      R"(],"more":false,"store_revision":9})");
    REQUIRE(response.m_objects.m_evacuations.size() == 1);
    CHECK(response.m_objects.m_evacuations[0].m_data_centre ==
          base::DataCentreId("hall-2"));
    CHECK(response.m_objects.m_ignored == 1);
    CHECK(response.m_objects.m_problems.list().size() == 1);
  }
}

TEST_CASE("an odd object beside the manifest does not affect it") {
  const std::string manifest =
      R"({"meta":{"name":"main"},"spec":{"version":7,"routes":[]}})";

  const CollectionResponse response = DecodePage(
      Collection::kManifests, R"({"items":[)" + manifest + "," +
                                  ServerObject("other", R"({"a":1e400})") +
                                  R"(],"more":false,"store_revision":12})");

  CHECK(response.m_objects.m_manifests.size() == 1);
}

}  // namespace adapter
