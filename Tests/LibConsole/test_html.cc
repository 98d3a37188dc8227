#include <doctest/doctest.h>

#include "LibConsole/form.h"
#include "LibConsole/html.h"

using console::FormFields;

TEST_CASE("text and attribute values are escaped") {
  const auto element =
      console::Element("p", {{"title", "\"><script>"}}, console::Text("<b>&'"));

  CHECK(element.markup() ==
        "<p title=\"&quot;&gt;&lt;script&gt;\">&lt;b&gt;&amp;&#39;</p>");
}

TEST_CASE("form fields are decoded in order") {
  const auto fields =
      console::ParseForm("services%5B0%5D.name=a+b%2B&empty=&flag&&x==%C3%A4");

  REQUIRE(fields);
  CHECK(*fields == FormFields{{"services[0].name", "a b+"},
                              {"empty", ""},
                              {"flag", ""},
                              {"x", "=\xC3\xA4"}});
  CHECK(console::FieldValue(*fields, "absent").empty());
}

TEST_CASE("malformed escapes and too many fields are rejected") {
  for (const char* body : {"a=%", "a=%4", "a=%zz", "%-1=b"})
    CHECK_FALSE(console::ParseForm(body));
  std::string many;
  for (std::size_t index = 0; index <= console::kMaxFormFields; ++index)
    many += "a&";
  CHECK_FALSE(console::ParseForm(many));
}
