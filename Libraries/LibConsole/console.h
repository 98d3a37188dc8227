// Answers the requests to the console and to the pages for machines. Free of
// I/O: admin_server.h carries it over HTTP.

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

  // `operator_token` is what a change has to present.
  Console(ConsoleCallbacks callbacks, std::string operator_token);

  // Calls `reply` once: at once, or after the submission is settled.
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

// Whether the header "Origin" of a request names another site than the one the
// request was sent to. A request without it comes from no browser page.
bool IsCrossSite(const Request& request);

// Compares in a time that depends on the length of `given` alone.
bool TokensMatch(std::string_view expected, std::string_view given);

}  // namespace console

#endif  // LIBCONSOLE_CONSOLE_H_
