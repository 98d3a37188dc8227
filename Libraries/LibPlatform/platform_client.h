// A client of the platform's object API and VM list.

#ifndef LIBPLATFORM_PLATFORM_CLIENT_H_
#define LIBPLATFORM_PLATFORM_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibHttp/client.h"
#include "LibPlatform/read_result.h"
#include "LibPlatform/write_result.h"

namespace platform {

// Each request is sent at most once. Its callback runs once, on the io_context,
// unless the request is cancelled. Used on the thread that runs `context`.
class PlatformClient {
 public:
  using ReadCallback = std::function<void(ReadResult)>;
  using WriteCallback = std::function<void(WriteResult)>;
  using ListCallback = std::function<void(ListResult)>;
  using VmsCallback = std::function<void(VmsResult)>;

  PlatformClient(asio::io_context& context, base::Endpoint endpoint);

  // Commands.
  http::RequestId Get(std::string_view key, ReadCallback callback);
  // The callback receives the object as soon as its version is greater than
  // `newer_than`, or Unchanged after `wait`.
  http::RequestId Watch(std::string_view key,
                        ObjectVersion newer_than,
                        base::Duration wait,
                        ReadCallback callback);
  // Replaces the object if its version is `expected`. An `expected` version of
  // zero creates the object.
  http::RequestId Put(std::string_view key,
                      ObjectVersion expected,
                      std::string body,
                      WriteCallback callback);
  // Deletes the object if its version is `expected`.
  http::RequestId Delete(std::string_view key,
                         ObjectVersion expected,
                         WriteCallback callback);
  // Lists the objects whose keys start with `prefix`.
  http::RequestId List(std::string_view prefix, ListCallback callback);
  http::RequestId ListVms(const base::DataCentreId& data_centre,
                          VmsCallback callback);
  // Prevents the callback of the request. A cancelled write may still take
  // effect.
  void Cancel(http::RequestId id);

  // The timeout of a request. A watch may take its `wait` in addition.
  static constexpr base::Duration kCallTimeout = std::chrono::seconds(2);

 private:
  http::Request MakeRequest(http::Method method, std::string path) const;
  http::RequestId Write(http::Request request,
                        ObjectVersion expected,
                        WriteCallback callback);

  http::Client m_client;
  base::Endpoint m_endpoint;
};

}  // namespace platform

#endif  // LIBPLATFORM_PLATFORM_CLIENT_H_
