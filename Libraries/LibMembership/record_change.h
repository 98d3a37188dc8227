// What a record about a member changed in the table of members.

#ifndef LIBMEMBERSHIP_RECORD_CHANGE_H_
#define LIBMEMBERSHIP_RECORD_CHANGE_H_

#include <cstdint>

namespace membership {

enum class RecordChange : std::uint8_t { kNone, kAdded, kChanged, kRemoved };

}  // namespace membership

#endif  // LIBMEMBERSHIP_RECORD_CHANGE_H_
