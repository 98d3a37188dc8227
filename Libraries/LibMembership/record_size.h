// The encoded size of member records, for limiting the size of datagrams.

#ifndef LIBMEMBERSHIP_RECORD_SIZE_H_
#define LIBMEMBERSHIP_RECORD_SIZE_H_

#include <cstddef>
#include <vector>

#include "LibPeer/limits.h"
#include "LibPeer/member_record.h"

namespace membership {

// Limit for the records in one message. With the rest of the message, records
// of this size stay under peer::kMaximumDatagramBytes.
inline constexpr std::size_t kMaximumRecordBytes = 1'000;
// An encoded record without its name and data centre.
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

// Whether `record` fits into a message that already contains `records`.
inline bool IsRoomFor(const peer::MemberRecord& record,
                      const std::vector<peer::MemberRecord>& records) {
  return records.size() < peer::kMaximumUpdates &&
         RecordBytes(records) + RecordBytes(record) <= kMaximumRecordBytes;
}

}  // namespace membership

#endif  // LIBMEMBERSHIP_RECORD_SIZE_H_
