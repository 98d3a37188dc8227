#include <doctest/doctest.h>

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
  CHECK(array->m_gaps == 0);
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
      CHECK_FALSE(array->m_is_cut_short);
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

TEST_CASE("an element of a million brackets is divided in time") {
  constexpr std::size_t kCount = 300'000;
  std::string nested;
  std::string commas;
  std::string candidates;
  for (std::size_t i = 0; i < kCount; ++i) {
    nested += "[{\"a\":";
    commas += ",{";
    candidates += ",{\"a\":[1";
  }
  for (const std::string& spec : {nested, commas}) {
    const std::string object = Object({kFirst, Element(spec), kLast});

    const auto array = DivideArray(object, "items", "meta");

    REQUIRE(array);
    CHECK(Contains(*array, kFirst));
    CHECK(Contains(*array, kLast));
    CHECK_FALSE(array->m_is_cut_short);
  }
  // Each bracket may be the start of an element, and the search for them ends.
  const std::string object = Object({kFirst, Element(candidates), kLast});

  const auto array = DivideArray(object, "items", "meta");

  REQUIRE(array);
  CHECK(Contains(*array, kFirst));
  CHECK(array->m_is_cut_short);
}

}  // namespace adapter
