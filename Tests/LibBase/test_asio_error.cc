#include <doctest/doctest.h>

#include <asio/error.hpp>

#include <system_error>

#include "LibBase/asio_error.h"

TEST_CASE("system errors of Asio are compared with standard error codes") {
  const auto would_block =
      asio::error::make_error_code(asio::error::would_block);
  const auto in_use = asio::error::make_error_code(asio::error::address_in_use);
  const auto end_of_file = asio::error::make_error_code(asio::error::eof);

  CHECK((base::FromAsio(would_block) == std::errc::operation_would_block));
  CHECK((base::FromAsio(in_use) == std::errc::address_in_use));
  CHECK((base::FromAsio(end_of_file) == end_of_file));
}
