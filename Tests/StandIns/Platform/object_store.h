// The objects of the platform stand-in: versions, conditional updates, and
// reads as of an earlier time.

#ifndef STANDINS_OBJECT_STORE_H_
#define STANDINS_OBJECT_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/time.h"

namespace stand_ins {

// One state of one object. An absent object has no body; the version of the
// deletion is kept so that a watch learns of it.
struct ObjectState {
  std::uint64_t m_version = 0;
  std::shared_ptr<const std::string> m_body;

  bool Exists() const { return m_body != nullptr; }
};

struct ObjectUpdate {
  enum class Result { kDone, kConflict };
  Result m_result = Result::kDone;
  // The new version if done, the version in force if not; 0 if absent.
  std::uint64_t m_version = 0;
};

struct ListedObject {
  std::string m_key;
  std::uint64_t m_version = 0;
};

class ObjectStore {
 public:
  // Queries.
  // The state of `key` as it was at `time`, within kHistory.
  ObjectState Read(std::string_view key, base::TimePoint time) const;
  std::vector<ListedObject> List(std::string_view prefix,
                                 base::TimePoint time) const;

  // Commands.
  // Replaces the object if `expected_version` is in force (0: absent).
  ObjectUpdate Put(const std::string& key,
                   std::uint64_t expected_version,
                   std::string body,
                   base::TimePoint now);
  ObjectUpdate Delete(const std::string& key,
                      std::uint64_t expected_version,
                      base::TimePoint now);

  static constexpr base::Duration kHistory = std::chrono::seconds(60);

 private:
  struct Entry {
    base::TimePoint m_time;
    ObjectState m_state;
  };
  using History = std::deque<Entry>;

  ObjectUpdate Replace(const std::string& key,
                       std::uint64_t expected_version,
                       std::shared_ptr<const std::string> body,
                       base::TimePoint now);

  std::map<std::string, History, std::less<>> m_objects;
  std::uint64_t m_last_version = 0;
};

}  // namespace stand_ins

#endif  // STANDINS_OBJECT_STORE_H_
