#include "StandIns/Platform/object_store.h"

#include <utility>

namespace stand_ins {

ObjectState ObjectStore::Read(std::string_view key,
                              base::TimePoint time) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end())
    return {};
  const History& history = found->second;
  for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
    if (entry->m_time <= time)
      return entry->m_state;
  }
  return {};
}

std::vector<ListedObject> ObjectStore::List(std::string_view prefix,
                                            base::TimePoint time) const {
  std::vector<ListedObject> listed;
  for (auto entry = m_objects.lower_bound(prefix);
       entry != m_objects.end() && entry->first.starts_with(prefix); ++entry) {
    const ObjectState state = Read(entry->first, time);
    if (state.Exists())
      listed.push_back({entry->first, state.m_version});
  }
  return listed;
}

ObjectUpdate ObjectStore::Put(const std::string& key,
                              std::uint64_t expected_version,
                              std::string body,
                              base::TimePoint now) {
  return Replace(key, expected_version,
                 std::make_shared<const std::string>(std::move(body)), now);
}

ObjectUpdate ObjectStore::Delete(const std::string& key,
                                 std::uint64_t expected_version,
                                 base::TimePoint now) {
  return Replace(key, expected_version, nullptr, now);
}

ObjectUpdate ObjectStore::Replace(const std::string& key,
                                  std::uint64_t expected_version,
                                  std::shared_ptr<const std::string> body,
                                  base::TimePoint now) {
  const ObjectState current = Read(key, base::TimePoint::max());
  const std::uint64_t current_version =
      current.Exists() ? current.m_version : 0;
  if (current_version != expected_version)
    return {ObjectUpdate::Result::kConflict, current_version};
  History& history = m_objects[key];
  history.push_back({now, {++m_last_version, std::move(body)}});
  while (history.size() > 1 && history[1].m_time <= now - kHistory)
    history.pop_front();
  return {ObjectUpdate::Result::kDone, m_last_version};
}

}  // namespace stand_ins
