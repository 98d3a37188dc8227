// Handles the requests to the operator's pages and to the endpoints for
// programs, such as /metrics. The console does no I/O; admin_server.h serves it
// over HTTP.

#ifndef LIBCONSOLE_CONSOLE_H_
#define LIBCONSOLE_CONSOLE_H_

#include <functional>
#include <string>
#include <string_view>

#include "LibConsole/console_callbacks.h"
#include "LibConsole/draft.h"
#include "LibConsole/request.h"

namespace console {

class Console {
 public:
  using ResponseCallback = std::function<void(const Response&)>;

  // A request to submit a document must contain `operator_token`.
  Console(ConsoleCallbacks callbacks, std::string operator_token);

  // Calls `respond` once: before Handle returns, or later if the response
  // depends on a burn report or on the outcome of a submission.
  void Handle(const Request& request, const ResponseCallback& respond);

 private:
  // Queries.
  // Returns the response to a GET request for any path but /report.
  Response Get(const Request& request) const;
  Response GetReady() const;
  Response GetSubmission(const Request& request) const;
  // Applies the button of the form to `draft` and returns the editor, or
  // returns Review(draft).
  Response PostEdit(const Draft& draft, const FormFields& fields) const;
  // Returns the changes of `draft`. Returns the editor instead if `draft` is
  // invalid, or the conflict page if its base version is no longer in force.
  Response Review(const Draft& draft) const;

  // Commands.
  // Responds to GET /report once the burn report arrives.
  void GetReport(const Request& request, const ResponseCallback& respond) const;
  // Handles a POST request to /edit or /submit.
  void Post(const Request& request, const ResponseCallback& respond);
  // Submits `draft` if it is valid, its base version is in force and `token` is
  // the operator token. Responds once the outcome arrives.
  void Submit(const Draft& draft,
              std::string_view token,
              const ResponseCallback& respond);
  // Reports the refusal to m_on_request_refused and returns its response.
  Response RefuseRequest(Status status, std::string_view reason);

  ConsoleCallbacks m_callbacks;
  std::string m_operator_token;
};

// Returns whether the header "Origin" of a request names another site than the
// header "Host". A request without "Origin" does not come from a page in a
// browser and is not cross-site.
bool IsCrossSite(const Request& request);

// Returns whether the tokens are equal, in a time that depends only on the
// length of `given`. No token matches an empty `expected`.
bool TokensMatch(std::string_view expected, std::string_view given);

}  // namespace console

#endif  // LIBCONSOLE_CONSOLE_H_
