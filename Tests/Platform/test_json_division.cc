#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "platform/json_division.h"

namespace adapter {

namespace {

const std::string kFirst = R"({"meta":{"name":"a"},"spec":{"x":[1,"]},{"]}})";
const std::string kLast =
    R"({"spec":{"text":"\\\" ,{"},"meta":{"name":"z"},"status":null})";

std::string Element(const std::string& spec) {
  return R"({"meta":{"name":"m"},"spec":)" + spec + R"(,"status":null})";
}

std::string Object(const std::vector<std::string>& elements) {
  std::string array;
  for (const std::string& element : elements)
    array += (array.empty() ? "" : ", ") + element;
  return R"({"more":false,"items":[)" + array + R"(],"store_revision":9})";
}

bool Contains(const DividedArray& array, const std::string& element) {
  for (const std::string_view found : array.m_elements) {
    if (found == element)
      return true;
  }
  return false;
}

}  // namespace

TEST_CASE("an array is divided into its elements and the rest of the object") {
  const std::string object =
      Object({kFirst, "17", Element(R"({"n":1e999})"), kLast});

  const auto array = DivideArray(object, "items", "meta");

  REQUIRE(array);
  REQUIRE(array->m_elements.size() == 4);
  CHECK(array->m_elements[0] == kFirst);
  CHECK(array->m_elements[1] == "17");
  CHECK(array->m_elements[3] == kLast);
  CHECK(array->m_rest == R"({"more":false,"items":[],"store_revision":9})");
  CHECK(array->m_unbalanced == 0);
  CHECK(DivideArray(Object({}), "items", "meta")->m_elements.empty());
  for (const char* text : {"", "{", "[]", R"({"items":7})", R"({"items":[)"})
    CHECK_FALSE(DivideArray(text, "items", "meta"));
}

TEST_CASE("the members of an object are found, and a fault in it is noticed") {
  const DividedObject object(R"( {"a" : "\"}" , "b":{"a":[]}, "c":-1.5e9} )");
  CHECK(object.IsWhole());
  CHECK(object.Find("a") == R"("\"}")");
  CHECK(object.Find("b") == R"({"a":[]})");
  CHECK(object.Find("c") == "-1.5e9");
  CHECK_FALSE(object.Find("d"));

  CHECK(DividedObject("{}").IsWhole());
  CHECK_FALSE(DividedObject(R"({"a":1,"a":2})").Find("a"));
  for (const char* text : {"", "[]", R"({"a":1)", R"({"a":1}})", R"({"a":[}])",
                           R"({"a":1,})", R"({"a" 1})", R"({"a":"b})"}) {
    INFO(text);
    CHECK_FALSE(DividedObject(text).IsWhole());
  }
  CHECK(DividedObject(R"({"a":1,"b":[})").Find("a") == "1");
}

TEST_CASE("elements before, between and behind unbalanced ones are found") {
  const std::string middle = Element("7");
  for (const char* first : {"{", "}", "[", "]", "\"", "{}}", "[{", "}]", "\\\"",
                            R"({"a":")", R"({"a":1},{"b":2})", ""}) {
    for (const char* second : {"}", "]", "\"", "]}", "}]}", "{", "[", "x\"y"}) {
      INFO(first, " and ", second);
      const std::string object =
          Object({kFirst, Element(first), middle, Element(second), kLast});

      const auto array = DivideArray(object, "items", "meta");

      REQUIRE(array);
      CHECK(Contains(*array, kFirst));
      CHECK(Contains(*array, middle));
      CHECK(Contains(*array, kLast));
      CHECK(array->m_rest == R"({"more":false,"items":[],"store_revision":9})");
    }
  }
}

TEST_CASE("whatever the bytes of some elements are, the others are found") {
  constexpr std::string_view kAlphabet("{}[]\",:\\ \n\0\x1f\xff\xc3u0ae-", 19);
  base::Random random(20261205);
  for (int round = 0; round < 20'000; ++round) {
    std::vector<std::string> specs(2);
    for (std::string& spec : specs) {
      for (std::size_t i = random.Below(24); i > 0; --i)
        spec += kAlphabet[random.Below(kAlphabet.size())];
    }
    const std::string middle = Element("7");
    const std::string object =
        Object({kFirst, Element(specs[0]), middle, Element(specs[1]), kLast});

    const auto array = DivideArray(object, "items", "meta");

    INFO("round ", round, ": ", specs[0], " and ", specs[1]);
    REQUIRE(array);
    CHECK(Contains(*array, kFirst));
    CHECK(Contains(*array, middle));
    CHECK(Contains(*array, kLast));
  }
}

// The search for the elements behind an unbalanced one gave up after 16 MiB,
// and they were left out.
TEST_CASE("the elements behind an unbalanced one of any shape are found") {
  constexpr std::size_t kSpecBytes = 1024UL * 1024UL;
  const auto repeat = [](const std::string& pattern) {
    std::string text;
    while (text.size() < kSpecBytes)
      text += pattern;
    return text;
  };
  const std::string levels =
      R"({"tree":[0)" + repeat(R"(,{"level":1,"values":[0,1,2],"below":[0)");
  const std::string specs[] = {
      repeat("[{\"a\":"),
      repeat(",{"),
      repeat(",{\"a\":[1"),
      repeat(R"(,{"meta":[1)"),
      repeat(R"(,{"meta":{"a":)"),
      repeat(R"(,{"a":")"),
      repeat(R"(,{",":",{":[)"),
      repeat(R"(,{"\",":[",{\":)"),
      repeat(", "),
      levels,
      levels + '"',
      levels + "]}]}",
      // Balanced containers without the member of an element.
      "}" + repeat(R"(,{"a":[1)") + repeat("]}"),
      '"' + repeat("x"),
      repeat("\""),
      repeat("]"),
      repeat("}"),
  };
  for (const std::string& spec : specs) {
    INFO(spec.substr(0, 40));
    const std::string middle = Element("7");
    const std::string object =
        Object({kFirst, Element(spec), middle, Element(spec.substr(1)), kLast});
    const auto started_at = std::chrono::steady_clock::now();

    const auto array = DivideArray(object, "items", "meta");

    REQUIRE(array);
    CHECK(Contains(*array, kFirst));
    CHECK(Contains(*array, middle));
    CHECK(Contains(*array, kLast));
    // The timeout of a call to the store.
    CHECK(std::chrono::steady_clock::now() - started_at <
          std::chrono::seconds(1));
  }
}

}  // namespace adapter
