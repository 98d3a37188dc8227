// The errors of LibPlatform.

#ifndef LIBPLATFORM_ERROR_H_
#define LIBPLATFORM_ERROR_H_

#include <system_error>

#include "LibBase/enum_table.h"

namespace platform {

enum class Error {
  // The text is not a YAML mapping.
  kNotAMapping = 1,
  // The fields that hold the submissions are malformed.
  kMalformedHistory,
};

inline constexpr base::EnumTable<Error, 2> kErrorNames{{
    {Error::kNotAMapping, "the document is not a YAML mapping"},
    {Error::kMalformedHistory, "the document's submissions are malformed"},
}};

const std::error_category& ErrorCategory();

// For std::error_code's conversion from Error.
inline std::error_code make_error_code(Error error) {
  return {static_cast<int>(error), ErrorCategory()};
}

}  // namespace platform

template <>
struct std::is_error_code_enum<platform::Error> : std::true_type {};

#endif  // LIBPLATFORM_ERROR_H_
