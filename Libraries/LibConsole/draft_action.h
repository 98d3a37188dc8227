// The changes of structure that the buttons of the form make to a draft.

#ifndef LIBCONSOLE_DRAFT_ACTION_H_
#define LIBCONSOLE_DRAFT_ACTION_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "LibConsole/draft.h"

namespace console {

struct AddService {};
struct RemoveService {
  std::size_t m_service;
};
struct AddBackendServer {
  std::size_t m_service;
  // May be empty.
  std::string m_data_centre;
};
struct RemoveBackendServer {
  std::size_t m_service;
  std::size_t m_server;
};
// Leave the structure as it is.
struct ShowReview {};
struct ShowEditor {};

using DraftAction = std::variant<ShowEditor,
                                 ShowReview,
                                 AddService,
                                 RemoveService,
                                 AddBackendServer,
                                 RemoveBackendServer>;

// Reads the value of a button; ShowEditor for any other text.
DraftAction ParseAction(std::string_view text);

// The value of the button for `action`.
std::string ToString(const DraftAction& action);

// Applies `action`; does nothing if it names what the draft lacks.
void Apply(const DraftAction& action, Draft& draft);

}  // namespace console

#endif  // LIBCONSOLE_DRAFT_ACTION_H_
