// The record that a backend server registers in the platform's store.

#ifndef LIBSTEERING_SERVER_RECORD_H_
#define LIBSTEERING_SERVER_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/store_revision.h"
#include "LibBase/time.h"
#include "LibSteering/ids.h"

namespace steering {

enum class ServerState { kReady, kDraining };

inline constexpr base::EnumTable<ServerState, 2> kServerStateNames{{
    {ServerState::kReady, "ready"},
    {ServerState::kDraining, "draining"},
}};

struct ServerRecord {
  ServerName m_name;
  WireIdentity m_identity;
  std::string m_service;
  base::Endpoint m_endpoint;
  base::DataCentreId m_data_centre;
  ServerState m_state = ServerState::kReady;
  // How many requests the server works on at once.
  std::uint32_t m_slots = 1;
  // The rest of the server's slow phase after its start, at the time of the
  // record.
  base::Duration m_warm_up_left{};
  // When the server started, in milliseconds since the Unix epoch by the
  // server's clock. Two values under one name are two incarnations. The
  // values are ordered only across eras of the store.
  std::int64_t m_incarnation = 0;
  // Counts what the server wrote since its start. Orders the records of one
  // incarnation, also when the store comes back from a copy of its past.
  std::uint64_t m_sequence = 0;
  // The store's revision of the record.
  base::StoreRevision m_revision;

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVER_RECORD_H_
