// One line of output: a JSON object whose first member is "event".

#ifndef STANDINS_JSON_LINE_H_
#define STANDINS_JSON_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidjson/document.h>

namespace stand_ins {

class JsonLine {
 public:
  explicit JsonLine(std::string_view event);

  // Queries.
  // The serialised object, without a newline.
  std::string Text() const;

  // Commands.
  JsonLine& Add(std::string_view name, std::string_view value);
  JsonLine& Add(std::string_view name, const char* value);
  JsonLine& Add(std::string_view name, std::uint64_t value);
  JsonLine& Add(std::string_view name, double value);
  JsonLine& Add(std::string_view name, bool value);
  JsonLine& Add(std::string_view name,
                const std::vector<std::uint64_t>& values);
  JsonLine& Add(std::string_view name, const std::vector<JsonLine>& values);

 private:
  void AddValue(std::string_view name, rapidjson::Value value);
  rapidjson::Value MakeString(std::string_view text);

  rapidjson::Document m_document;
};

// Writes the line to standard output and flushes.
void PrintLine(const JsonLine& line);

}  // namespace stand_ins

#endif  // STANDINS_JSON_LINE_H_
