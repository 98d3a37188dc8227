// A stand-in for the platform's store over HTTP: objects by kind, revisions,
// paged lists and watches, with faults that tests inject.

#ifndef TESTS_SOAK_STORE_STAND_IN_H_
#define TESTS_SOAK_STORE_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace stand_ins {
class EventLoop;
}  // namespace stand_ins

namespace soak {

enum class StoreFault { kNone, kSilent, kBusy, kOverRate };

class StoreStandIn {
 public:
  // Throws if it cannot listen on `endpoint`.
  StoreStandIn(stand_ins::EventLoop* loop, base::Endpoint endpoint);
  ~StoreStandIn();
  StoreStandIn(const StoreStandIn&) = delete;
  StoreStandIn& operator=(const StoreStandIn&) = delete;

  // Called when a change of an object of `kind` is acknowledged.
  using ChangeHandler = std::function<
      void(const std::string& kind, std::uint64_t era, std::uint64_t revision)>;

  // Queries.
  std::vector<std::string> Names(const std::string& kind) const;

  // Commands.
  void SetChangeHandler(ChangeHandler handler);
  // Writes an object; `spec` is JSON. Does nothing if the object already has
  // this spec.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  void SetFault(StoreFault fault);
  // Comes back from a copy of the objects as they were `age` ago, at most a
  // minute, in a new era.
  void Restore(base::Duration age);
  // Discards the event history: watches from an earlier revision get status
  // 410.
  void Compact();

 private:
  struct Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace soak

#endif  // TESTS_SOAK_STORE_STAND_IN_H_
