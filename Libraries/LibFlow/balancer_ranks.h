// Stores the first balancers of each bucket of flows in rendezvous order, so
// that a packet costs one lookup at any number of balancers. The number of
// buckets is fixed: a bucket's order depends on the balancers alone, and a
// change of one balancer does not reorder the others.

#ifndef LIBFLOW_BALANCER_RANKS_H_
#define LIBFLOW_BALANCER_RANKS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "LibFlow/balancer.h"

namespace flow {

class BalancerRanks {
 public:
  // Number of bits that select the bucket of a flow.
  static constexpr unsigned kBucketBits = 16;
  static constexpr std::size_t kBuckets = std::size_t{1} << kBucketBits;
  // The home and the default number of other balancers that a search reaches.
  static constexpr std::size_t kRanks = 4;

  using Index = std::uint16_t;
  // Fills the rest of a row with fewer than kRanks balancers.
  static constexpr Index kNone = 0xffff;
  // Indices into the list of balancers; suspected balancers come last.
  using Row = std::array<Index, kRanks>;

  // Ranks all balancers from scratch: the time grows with buckets times
  // balancers.
  explicit BalancerRanks(std::span<const Balancer> balancers);
  // Derives the same ranks from `ranks_before`, the ranks of `before`: the time
  // grows with the buckets and with the balancers that changed.
  BalancerRanks(std::span<const Balancer> balancers,
                std::span<const Balancer> before,
                const BalancerRanks& ranks_before);

  const Row& RowOf(std::uint64_t flow_hash) const {
    return m_rows[BucketOf(flow_hash)];
  }

  // A balancer's weight in the flow's bucket: a greater weight is earlier in
  // the order.
  std::uint64_t WeightOf(std::uint64_t flow_hash, std::size_t balancer) const {
    return WeightIn(BucketOf(flow_hash), balancer);
  }

  std::size_t allocated_bytes() const;

 private:
  struct RankedBalancer {
    // The hash of the balancer's id.
    std::uint64_t m_hash;
    // The highest bit of the weight; unset for a suspected balancer.
    std::uint64_t m_trust_bit;
  };

  // Fibonacci hashing (Knuth, TAOCP volume 3, section 6.4). The flow table uses
  // the lowest bits of the hash, so these must not determine the bucket.
  static constexpr std::size_t BucketOf(std::uint64_t flow_hash) {
    constexpr unsigned kHashBits = 64;
    return (flow_hash * 0x9e3779b97f4a7c15ULL) >> (kHashBits - kBucketBits);
  }

  std::uint64_t WeightIn(std::size_t bucket, std::size_t balancer) const;
  void RankBucket(std::size_t bucket);
  void InsertInto(Row& row, std::size_t bucket, Index balancer) const;

  std::vector<RankedBalancer> m_balancers;
  std::vector<Row> m_rows;
};

}  // namespace flow

#endif  // LIBFLOW_BALANCER_RANKS_H_
