// The reasons for which a call to the store fails.

#ifndef LIBCATALOG_CALL_FAILURE_H_
#define LIBCATALOG_CALL_FAILURE_H_

#include "LibBase/enum_table.h"

namespace catalog {

enum class CallFailure {
  kUnreachable,
  kTimedOut,
  kConnectionLost,
  kOverRate,
  kUnavailable,
  kHistoryGone,
  kMalformed,
};

inline constexpr base::EnumTable<CallFailure, 7> kCallFailureNames{{
    {CallFailure::kUnreachable, "unreachable"},
    {CallFailure::kTimedOut, "timed_out"},
    {CallFailure::kConnectionLost, "connection_lost"},
    {CallFailure::kOverRate, "over_rate"},
    {CallFailure::kUnavailable, "unavailable"},
    {CallFailure::kHistoryGone, "history_gone"},
    {CallFailure::kMalformed, "malformed_answer"},
}};

}  // namespace catalog

#endif  // LIBCATALOG_CALL_FAILURE_H_
