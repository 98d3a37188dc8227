// An error or a warning in a configuration text, with its position.

#ifndef LIBCONFIGURATION_PROBLEM_H_
#define LIBCONFIGURATION_PROBLEM_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "LibBase/enum_table.h"

namespace configuration {

enum class ProblemKind {
  kSyntax,
  // The text, its number of nodes or a list exceeds a limit.
  kTooLarge,
  kTooDeep,
  kUnknownKey,
  kDuplicateKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  // A name or a secret has too many characters.
  kTooLong,
  // Each value is allowed by itself, but the combination is not.
  kContradiction,
  kDuplicateName,
  kAddressConflict,
  // Two services or two backend servers have the same id. An id is a hash of
  // the names and, for a backend server, of the incarnation.
  kIdCollision,
  // The incarnation of a backend server is too low.
  kIncarnation,
  // A warning: the change is allowed but breaks open flows of a service, a
  // backend server or a route that was not drained before.
  kDrainFirst,
  // A warning: the entry is allowed but never takes effect.
  kNeverUsed,
};

inline constexpr base::EnumTable<ProblemKind, 16> kProblemKindNames{{
    {ProblemKind::kSyntax, "syntax"},
    {ProblemKind::kTooLarge, "too_large"},
    {ProblemKind::kTooDeep, "too_deep"},
    {ProblemKind::kUnknownKey, "unknown_key"},
    {ProblemKind::kDuplicateKey, "duplicate_key"},
    {ProblemKind::kMissingKey, "missing_key"},
    {ProblemKind::kWrongType, "wrong_type"},
    {ProblemKind::kOutOfRange, "out_of_range"},
    {ProblemKind::kTooLong, "too_long"},
    {ProblemKind::kContradiction, "contradiction"},
    {ProblemKind::kDuplicateName, "duplicate_name"},
    {ProblemKind::kAddressConflict, "address_conflict"},
    {ProblemKind::kIdCollision, "id_collision"},
    {ProblemKind::kIncarnation, "incarnation"},
    {ProblemKind::kDrainFirst, "drain_first"},
    {ProblemKind::kNeverUsed, "never_used"},
}};

// A position in a text. Lines and columns count from 1; 0 means that the
// position is unknown.
struct Position {
  int m_line = 0;
  int m_column = 0;

  friend bool operator==(const Position&, const Position&) = default;
};

struct Problem {
  ProblemKind m_kind = ProblemKind::kSyntax;
  // The path of the key, such as "services[2].backend_servers[0].name". Empty
  // if the problem concerns the whole text.
  std::string m_path;
  std::string m_message;
  Position m_position;

  bool IsWarning() const {
    return m_kind == ProblemKind::kDrainFirst ||
           m_kind == ProblemKind::kNeverUsed;
  }

  friend bool operator==(const Problem&, const Problem&) = default;
};

using Problems = std::vector<Problem>;

// AddProblem drops problems beyond this number.
inline constexpr std::size_t kMaxProblems = 1000;

// Appends `problem` unless the list is full.
void AddProblem(Problems& problems, Problem problem);

// A value that was read without errors, or the problems found.
template <typename T>
using ValueOrProblems = std::variant<T, Problems>;

// Example: "line 3, column 5: services[0].name: ... (duplicate_name)".
std::string ToString(const Problem& problem);

}  // namespace configuration

#endif  // LIBCONFIGURATION_PROBLEM_H_
