// Updates about members that wait to be piggybacked on messages (SWIM, section
// 4.1). The update that was sent least often is next, and each update is sent a
// limited number of times.

#ifndef LIBMEMBERSHIP_UPDATE_QUEUE_H_
#define LIBMEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <vector>

#include "LibBase/ids.h"

namespace membership {

class UpdateQueue {
 public:
  // Queries.
  std::size_t Size() const { return m_updates.size(); }
  // Returns up to `count` members, the least often sent first.
  std::vector<base::BalancerId> Next(std::size_t count) const;

  // Commands.
  // Queues an update about a member and replaces any queued update about the
  // member.
  void Add(base::BalancerId id);
  // Records that the member's update was sent once, and removes the update
  // after `limit` transmissions.
  void CountSent(base::BalancerId id, std::size_t limit);

 private:
  struct Update {
    base::BalancerId m_id;
    std::size_t m_times_sent = 0;
  };

  // Sorted by m_times_sent.
  std::vector<Update> m_updates;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_UPDATE_QUEUE_H_
