#include <doctest/doctest.h>

#include <chrono>

#include "LibFeed/confirmation_queue.h"
#include "LibFeed/store_status.h"

namespace feed {

namespace {

using std::chrono::milliseconds;

base::TimePoint At(int ms) {
  return base::TimePoint(std::chrono::hours(1)) + milliseconds(ms);
}

// A request received at `ms` that needs a view of `age_ms` at most.
ReceivedRequest MakeRequest(int ms, int age_ms) {
  ReceivedRequest request;
  request.m_received_at = At(ms);
  request.m_request.m_needed_view_age = milliseconds(age_ms);
  return request;
}

// The status at `now_ms` of a reader whose view was confirmed at `ms`.
StoreStatus MakeStatus(int ms, int now_ms) {
  StoreStatus status;
  status.m_is_current = true;
  status.m_view_age = milliseconds(now_ms - ms);
  return status;
}

}  // namespace

TEST_CASE("a request waits only if the view is older than it needs") {
  const ConfirmationQueue queue;

  CHECK(
      queue.ShouldWait(MakeRequest(1000, 30), MakeStatus(960, 1000), At(1000)));
  CHECK_FALSE(
      queue.ShouldWait(MakeRequest(1000, 30), MakeStatus(970, 1000), At(1000)));
  CHECK_FALSE(
      queue.ShouldWait({{}, {}, At(1000)}, MakeStatus(0, 1000), At(1000)));
  // The store does not respond to this reader.
  StoreStatus lost = MakeStatus(0, 1000);
  lost.m_is_current = false;
  CHECK_FALSE(queue.ShouldWait(MakeRequest(1000, 30), lost, At(1000)));
}

TEST_CASE(
    "a request is answered once its view is confirmed or at its deadline") {
  ConfirmationQueue queue;
  queue.Add(MakeRequest(1000, 30));
  queue.Add(MakeRequest(1010, 0));
  CHECK(queue.NeededAsOf() == At(1010));
  CHECK(queue.NextDeadline() == At(1000) + ConfirmationQueue::kMaximumWait);
  CHECK(queue.PopDue(MakeStatus(500, 1015), At(1015)).empty());

  const auto confirmed = queue.PopDue(MakeStatus(1002, 1020), At(1020));
  REQUIRE(confirmed.size() == 1);
  CHECK(confirmed[0].m_received_at == At(1000));
  CHECK(confirmed[0].AgeAtReceipt(milliseconds(18), At(1020)) ==
        milliseconds(0));

  const auto late = queue.PopDue(MakeStatus(1002, 1090), At(1090));
  REQUIRE(late.size() == 1);
  CHECK(late[0].AgeAtReceipt(milliseconds(88), At(1090)) == milliseconds(8));
  CHECK_FALSE(queue.NextDeadline());
}

TEST_CASE("requests beyond the limit do not wait") {
  ConfirmationQueue queue;
  for (std::size_t i = 0; i < ConfirmationQueue::kMaximumRequests; ++i)
    queue.Add(MakeRequest(1000, 0));

  CHECK_FALSE(
      queue.ShouldWait(MakeRequest(1000, 0), MakeStatus(0, 1000), At(1000)));
}

TEST_CASE("the requests of a reader that loses the store are answered") {
  ConfirmationQueue queue;
  queue.Add(MakeRequest(1000, 0));
  StoreStatus lost = MakeStatus(500, 1010);
  lost.m_is_current = false;

  CHECK(queue.PopDue(lost, At(1010)).size() == 1);
  CHECK(queue.size() == 0);
}

}  // namespace feed
