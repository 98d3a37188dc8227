// Conversion of Asio's error codes.

#ifndef LIBBASE_ASIO_ERROR_H_
#define LIBBASE_ASIO_ERROR_H_

#include <asio/error.hpp>

#include <system_error>

namespace base {

// Returns a system error in the standard category. The codes of Asio 1.22 have
// a category of their own, in which no code equals a value of std::errc.
inline std::error_code FromAsio(const std::error_code& error) {
  if (error.category() != asio::error::get_system_category())
    return error;
  return {error.value(), std::system_category()};
}

}  // namespace base

#endif  // LIBBASE_ASIO_ERROR_H_
