#ifndef LIBEVENTLOOP_LISTENER_PROBLEM_H_
#define LIBEVENTLOOP_LISTENER_PROBLEM_H_

#include <functional>
#include <system_error>

#include "LibBase/enum_table.h"

namespace event_loop {

// What kept an HTTP server from serving a connection.
enum class ListenerProblem {
  // A connection could not be accepted. It stays pending and is tried again.
  kAcceptFailed,
  // The server had as many connections as it may have. It closed the one that
  // had waited for its request for longest.
  kConnectionLimit,
};

inline constexpr base::EnumTable<ListenerProblem, 2> kListenerProblemNames{{
    {ListenerProblem::kAcceptFailed, "accept_failed"},
    {ListenerProblem::kConnectionLimit, "connection_limit"},
}};

// Called once for each occurrence of a problem.
using OnListenerProblem = std::function<void(ListenerProblem, std::error_code)>;

}  // namespace event_loop

#endif  // LIBEVENTLOOP_LISTENER_PROBLEM_H_
