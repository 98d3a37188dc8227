#include "StandIns/json_line.h"

#include <cstdio>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace stand_ins {

JsonLine::JsonLine(std::string_view event) {
  m_document.SetObject();
  Add("event", event);
}

std::string JsonLine::Text() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  m_document.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

JsonLine& JsonLine::Add(std::string_view name, std::string_view value) {
  AddValue(name, MakeString(value));
  return *this;
}

JsonLine& JsonLine::Add(std::string_view name, const char* value) {
  return Add(name, std::string_view(value));
}

JsonLine& JsonLine::Add(std::string_view name, std::uint64_t value) {
  AddValue(name, rapidjson::Value(value));
  return *this;
}

JsonLine& JsonLine::Add(std::string_view name, double value) {
  AddValue(name, rapidjson::Value(value));
  return *this;
}

JsonLine& JsonLine::Add(std::string_view name, bool value) {
  AddValue(name, rapidjson::Value(value));
  return *this;
}

JsonLine& JsonLine::Add(std::string_view name,
                        const std::vector<std::uint64_t>& values) {
  rapidjson::Value array(rapidjson::kArrayType);
  for (const std::uint64_t value : values)
    array.PushBack(value, m_document.GetAllocator());
  AddValue(name, std::move(array));
  return *this;
}

JsonLine& JsonLine::Add(std::string_view name,
                        const std::vector<JsonLine>& values) {
  rapidjson::Value array(rapidjson::kArrayType);
  for (const JsonLine& value : values) {
    rapidjson::Value copy(value.m_document, m_document.GetAllocator());
    array.PushBack(std::move(copy), m_document.GetAllocator());
  }
  AddValue(name, std::move(array));
  return *this;
}

void JsonLine::AddValue(std::string_view name, rapidjson::Value value) {
  m_document.AddMember(MakeString(name), std::move(value),
                       m_document.GetAllocator());
}

rapidjson::Value JsonLine::MakeString(std::string_view text) {
  return {text.data(), static_cast<rapidjson::SizeType>(text.size()),
          m_document.GetAllocator()};
}

void PrintLine(const JsonLine& line) {
  const std::string text = line.Text() + "\n";
  std::fwrite(text.data(), 1, text.size(), stdout);
  std::fflush(stdout);
}

}  // namespace stand_ins
