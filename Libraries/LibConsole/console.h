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
  Response Get(const Request& request) const;
  Response GetReady() const;
  Response GetSubmission(const Request& request) const;
  Response PostEdit(const Draft& draft, const FormFields& fields) const;
  Response Review(const Draft& draft) const;

  // Commands.
  void GetReport(const Request& request, const ResponseCallback& respond) const;
  void Post(const Request& request, const ResponseCallback& respond);
  void Submit(const Draft& draft,
              std::string_view token,
              const ResponseCallback& respond);
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
