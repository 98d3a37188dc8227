#include "LibConfiguration/problem.h"

#include <fmt/format.h>

#include <utility>

namespace configuration {

void AddProblem(Problems& problems, Problem problem) {
  if (problems.size() < kMaxProblems)
    problems.push_back(std::move(problem));
}

std::string ToString(const Problem& problem) {
  std::string text;
  if (problem.m_position.m_line > 0)
    text = fmt::format("line {}, column {}: ", problem.m_position.m_line,
                       problem.m_position.m_column);
  if (!problem.m_path.empty())
    text += problem.m_path + ": ";
  return text + fmt::format("{} ({})", problem.m_message,
                            NameOf(kProblemKindNames, problem.m_kind));
}

}  // namespace configuration
