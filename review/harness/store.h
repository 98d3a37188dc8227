// The platform's metadata store: lists and watches over HTTP/1.1, as
// PROTOCOL.md describes them. Each machine reaches the store at an address of
// its own.

#ifndef REVIEW_HARNESS_STORE_H_
#define REVIEW_HARNESS_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "loop.h"
#include "network.h"

namespace review {

class Store {
 public:
  // The throws are those of ListenOn.
  Store(Loop& loop, const Network& network, std::uint32_t machines);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Queries.
  // The machines whose watch is open, and so those that read the store.
  std::set<std::uint32_t> WatchingMachines() const;

  // Commands.
  // Creates or replaces an object. `spec` is JSON text. A spec that changes
  // nothing but `seq` is to be left out, as it makes no event.
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  // Partitions a machine from the store, or ends the partition. Bytes on the
  // way are held up meanwhile.
  void SetCut(std::uint32_t machine, bool is_cut);

 private:
  struct Object {
    std::uint64_t m_revision = 0;
    std::string m_spec;
  };
  struct Event {
    std::uint64_t m_revision = 0;
    std::int64_t m_at = 0;
    std::string m_kind;
    std::string m_json;
  };
  struct Watch {
    std::string m_kind;
    std::uint64_t m_since = 0;
    std::int64_t m_deadline = 0;
  };
  struct Connection {
    std::uint32_t m_machine = 0;
    std::string m_in;
    std::string m_out;
    std::optional<Watch> m_watch;
    Loop::Socket* m_socket = nullptr;
  };

  void Accept(int listener, std::uint32_t machine);
  void Read(int descriptor);
  void Flush(int descriptor);
  void Close(int descriptor);
  void Handle(Connection& connection, const std::string& target);
  std::string List(const std::string& kind, const std::string& after) const;
  void Respond(Connection& connection, int status, const std::string& body);
  void AnswerWatches();
  void AddEvent(const std::string& kind,
                const std::string& object,
                bool is_deleted);

  Loop& m_loop;
  std::vector<int> m_listeners;
  std::map<int, Connection> m_connections;
  std::set<std::uint32_t> m_cut;
  std::uint64_t m_revision = 1;
  // The history up to this revision is gone.
  std::uint64_t m_forgotten = 0;
  std::map<std::string, std::map<std::string, Object>> m_objects;
  std::deque<Event> m_events;
};

}  // namespace review

#endif  // REVIEW_HARNESS_STORE_H_
