// Header fields of HTTP messages.

#ifndef LIBHTTP_HEADER_H_
#define LIBHTTP_HEADER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace http {

struct Header {
  std::string m_name;
  std::string m_value;
};

using Headers = std::vector<Header>;

// Returns the value of the first field with the name `name`, compared without
// regard to case (RFC 9110 section 5.1), or nullopt if there is none.
std::optional<std::string_view> FindHeader(const Headers& headers,
                                           std::string_view name);

}  // namespace http

#endif  // LIBHTTP_HEADER_H_
