// Polls the platform's list of the VMs in a data centre.

#ifndef LIBPLATFORM_VM_POLLER_H_
#define LIBPLATFORM_VM_POLLER_H_

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlatform/back_off.h"
#include "LibPlatform/platform_client.h"
#include "LibPlatform/vm_record.h"

namespace platform {

// Used on the thread that runs the io_context. The client must outlive the
// poller.
class VmPoller {
 public:
  using VmsCallback = std::function<void(const std::vector<VmRecord>&)>;

  // Polls every `interval`, or with exponential back-off while polls fail.
  // `on_vms` receives the list of each successful poll.
  VmPoller(asio::io_context& context,
           PlatformClient& client,
           base::DataCentreId data_centre,
           base::Duration interval,
           base::Random random,
           VmsCallback on_vms);
  ~VmPoller();
  VmPoller(const VmPoller&) = delete;
  VmPoller& operator=(const VmPoller&) = delete;

  // Commands.
  void Start();
  // Sets the interval from the next poll on. The owner sets a long interval
  // where a short one is not needed: the platform cannot serve a poll every
  // second from each of thousands of balancers.
  void SetInterval(base::Duration interval) { m_interval = interval; }

  static constexpr base::Duration kInitialBackOff =
      std::chrono::milliseconds(200);
  static constexpr base::Duration kMaximumBackOff = std::chrono::seconds(4);

 private:
  void Poll();
  void OnResult(const VmsResult& result);
  void PollAfter(base::Duration delay);

  PlatformClient& m_client;
  base::DataCentreId m_data_centre;
  base::Duration m_interval;
  base::Random m_random;
  BackOff m_back_off{kInitialBackOff, kMaximumBackOff};
  VmsCallback m_on_vms;
  asio::steady_timer m_timer;
  http::RequestId m_request;
  // Expires with the poller. Callbacks check m_lifetime before they use the
  // poller.
  std::shared_ptr<bool> m_lifetime = std::make_shared<bool>(true);
};

}  // namespace platform

#endif  // LIBPLATFORM_VM_POLLER_H_
