// The size of member records on the wire, for keeping datagrams under their
// bound.

#ifndef LIBMEMBERSHIP_RECORD_SIZE_H_
#define LIBMEMBERSHIP_RECORD_SIZE_H_

#include <cstddef>
#include <vector>

#include "LibPeer/limits.h"
#include "LibPeer/member_record.h"

namespace membership {

// The records in one message; with the rest of the message they stay under
// peer::kMaximumDatagramBytes.
inline constexpr std::size_t kMaximumRecordBytes = 1'000;
inline constexpr std::size_t kFixedRecordBytes = 49;

inline std::size_t RecordBytes(const peer::MemberRecord& record) {
  return kFixedRecordBytes + record.m_name.size() +
         record.m_data_centre.value().size();
}

inline std::size_t RecordBytes(const std::vector<peer::MemberRecord>& records) {
  std::size_t bytes = 0;
  for (const peer::MemberRecord& record : records)
    bytes += RecordBytes(record);
  return bytes;
}

// Whether `record` still fits into a message that holds `records`.
inline bool IsRoomFor(const peer::MemberRecord& record,
                      const std::vector<peer::MemberRecord>& records) {
  return records.size() < peer::kMaximumUpdates &&
         RecordBytes(records) + RecordBytes(record) <= kMaximumRecordBytes;
}

}  // namespace membership

#endif  // LIBMEMBERSHIP_RECORD_SIZE_H_
