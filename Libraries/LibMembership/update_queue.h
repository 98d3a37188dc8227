// News about members that waits to ride along with messages (SWIM, section
// 4.1). What was sent least often goes first; each piece of news is sent a
// bounded number of times.

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
  // Up to `count` members, the least often sent first.
  std::vector<base::BalancerId> Next(std::size_t count) const;

  // Commands.
  // Queues news about a member in place of any older news about it.
  void Add(base::BalancerId id);
  // Counts one sending of the member's news and drops it at `limit` sendings.
  void CountSent(base::BalancerId id, std::size_t limit);

 private:
  struct Update {
    base::BalancerId m_id;
    std::size_t m_times_sent = 0;
  };

  // In order of m_times_sent.
  std::vector<Update> m_updates;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_UPDATE_QUEUE_H_
