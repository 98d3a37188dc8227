// The effect of a member record on the member table.

#ifndef LIBMEMBERSHIP_RECORD_CHANGE_H_
#define LIBMEMBERSHIP_RECORD_CHANGE_H_

#include <cstdint>

namespace membership {

enum class RecordChange : std::uint8_t { kNone, kAdded, kChanged, kRemoved };

}  // namespace membership

#endif  // LIBMEMBERSHIP_RECORD_CHANGE_H_
