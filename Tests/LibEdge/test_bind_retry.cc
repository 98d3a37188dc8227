#include <doctest/doctest.h>

#include <chrono>
#include <system_error>

#include "LibEdge/bind_retry.h"

using namespace std::chrono_literals;
using edge::BindRetry;

namespace {

constexpr base::Duration kGrace = 6s;
const base::TimePoint kStart = base::TimePoint() + 1h;
const std::error_code kInUse = std::make_error_code(std::errc::address_in_use);

}  // namespace

TEST_CASE("ports are tried again until the former process must have ended") {
  const BindRetry retry(kStart, kGrace);

  CHECK(retry.MayRetry(kInUse, kStart));
  CHECK(retry.MayRetry(kInUse, kStart + kGrace));
  CHECK(retry.MayRetry(kInUse, kStart + kGrace + BindRetry::kReserve - 1ms));
  CHECK_FALSE(retry.MayRetry(kInUse, kStart + kGrace + BindRetry::kReserve));
}

TEST_CASE("only an address that is in use or not configured is tried again") {
  const BindRetry retry(kStart, kGrace);

  CHECK(retry.MayRetry(std::make_error_code(std::errc::address_not_available),
                       kStart));
  CHECK_FALSE(retry.MayRetry(std::make_error_code(std::errc::permission_denied),
                             kStart));
  CHECK_FALSE(retry.MayRetry(
      std::make_error_code(std::errc::too_many_files_open), kStart));
}
