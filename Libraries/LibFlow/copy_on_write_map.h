// A hash map in small parts that copies of the map share. Copying the map
// copies one pointer for each part. A change to the copy clones only the
// changed part (Driscoll et al., "Making data structures persistent", JCSS
// 1989).

#ifndef LIBFLOW_COPY_ON_WRITE_MAP_H_
#define LIBFLOW_COPY_ON_WRITE_MAP_H_

#include <algorithm>
#include <bitset>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "LibBase/hash.h"

namespace flow {

template <typename Key, typename Value>
class CopyOnWriteMap {
 public:
  CopyOnWriteMap() : m_parts(kParts) {}
  CopyOnWriteMap(const CopyOnWriteMap& other)
      : m_parts(other.m_parts), m_size(other.m_size) {}
  CopyOnWriteMap& operator=(const CopyOnWriteMap&) = delete;

  // Queries.
  std::size_t size() const { return m_size; }

  // Null if the key is absent. The pointer is valid until the next change.
  const Value* Find(const Key& key) const {
    const auto& part = m_parts[PartOf(key)];
    if (part == nullptr)
      return nullptr;
    const auto found = std::ranges::find(*part, key, &Item::first);
    return found == part->end() ? nullptr : &found->second;
  }

  void ForEach(
      const std::function<void(const Key&, const Value&)>& visit) const {
    for (const auto& part : m_parts) {
      if (part == nullptr)
        continue;
      for (const Item& item : *part)
        visit(item.first, item.second);
    }
  }

  // Commands.
  void Set(const Key& key, Value value) {
    Part& part = Edit(PartOf(key));
    const auto found = std::ranges::find(part, key, &Item::first);
    if (found != part.end()) {
      found->second = std::move(value);
      return;
    }
    part.emplace_back(key, std::move(value));
    ++m_size;
  }

  void Erase(const Key& key) {
    if (Find(key) == nullptr)
      return;
    std::erase_if(Edit(PartOf(key)),
                  [&key](const Item& item) { return item.first == key; });
    --m_size;
  }

 private:
  static constexpr std::size_t kParts = 4096;
  using Item = std::pair<Key, Value>;
  using Part = std::vector<Item>;

  static std::size_t PartOf(const Key& key) {
    return base::MixBits(std::hash<Key>{}(key)) % kParts;
  }

  Part& Edit(std::size_t index) {
    if (!m_is_own[index]) {
      const auto& shared = m_parts[index];
      m_parts[index] = shared == nullptr ? std::make_shared<Part>()
                                         : std::make_shared<Part>(*shared);
      m_is_own[index] = true;
    }
    return *m_parts[index];
  }

  std::vector<std::shared_ptr<Part>> m_parts;
  // The parts that this map created or cloned, so that it may change them.
  std::bitset<kParts> m_is_own;
  std::size_t m_size = 0;
};

}  // namespace flow

#endif  // LIBFLOW_COPY_ON_WRITE_MAP_H_
