// The actions of the form buttons. Most of them add or remove services or
// backend servers of a draft.

#ifndef LIBCONSOLE_DRAFT_ACTION_H_
#define LIBCONSOLE_DRAFT_ACTION_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "LibConsole/draft.h"

namespace console {

// In these actions, m_service is an index into the services of the draft, and
// m_server an index into the backend servers of that service.
struct AddService {};
struct RemoveService {
  std::size_t m_service;
};
struct AddBackendServer {
  std::size_t m_service;
  // The data centre of the new backend server. Empty if the operator has yet to
  // name the data centre.
  std::string m_data_centre;
};
struct RemoveBackendServer {
  std::size_t m_service;
  std::size_t m_server;
};
// These two select the page to show and do not change the draft.
struct ShowReview {};
struct ShowEditor {};

using DraftAction = std::variant<ShowEditor,
                                 ShowReview,
                                 AddService,
                                 RemoveService,
                                 AddBackendServer,
                                 RemoveBackendServer>;

// Parses the value of a button. Returns ShowEditor for any other text.
DraftAction ParseAction(std::string_view text);

// Returns the value of the button for `action`.
std::string ToString(const DraftAction& action);

// Applies `action` to `draft`. Does nothing if the draft has no service or
// backend server with the index in `action`.
void Apply(const DraftAction& action, Draft& draft);

}  // namespace console

#endif  // LIBCONSOLE_DRAFT_ACTION_H_
