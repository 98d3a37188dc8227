#include "LibPlatform/vm_poller.h"

#include <asio/io_context.hpp>
#include <utility>

namespace platform {

VmPoller::VmPoller(asio::io_context& context,
                   PlatformClient& client,
                   base::DataCentreId data_centre,
                   base::Duration interval,
                   base::Random random,
                   VmsCallback on_vms)
    : m_client(client),
      m_data_centre(std::move(data_centre)),
      m_interval(interval),
      m_random(random),
      m_on_vms(std::move(on_vms)),
      m_timer(context) {}

VmPoller::~VmPoller() {
  m_client.Cancel(m_request);
}

void VmPoller::Start() {
  Poll();
}

void VmPoller::Poll() {
  m_request = m_client.ListVms(
      m_data_centre,
      [this, lifetime = std::weak_ptr(m_lifetime)](const VmsResult& result) {
        if (!lifetime.expired())
          OnResult(result);
      });
}

void VmPoller::OnResult(const VmsResult& result) {
  const auto* records = std::get_if<std::vector<VmRecord>>(&result);
  if (!records) {
    PollAfter(m_back_off.Next(m_random));
    return;
  }
  m_back_off.Reset();
  PollAfter(m_interval);
  m_on_vms(*records);
}

void VmPoller::PollAfter(base::Duration delay) {
  m_timer.expires_after(delay);
  m_timer.async_wait([this, lifetime = std::weak_ptr(m_lifetime)](
                         const std::error_code& error) {
    if (!error && !lifetime.expired())
      Poll();
  });
}

}  // namespace platform
