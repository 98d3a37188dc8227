// Prints the problems of a file to standard error.

#ifndef SERVICES_COLTSFOOTDALE_PROBLEM_REPORT_H_
#define SERVICES_COLTSFOOTDALE_PROBLEM_REPORT_H_

#include <iostream>
#include <string>

#include "LibConfiguration/problem.h"

namespace service {

// Prints one line for each problem: "FILE: error: line 3, column 5: ...".
inline void PrintProblems(const std::string& path,
                          const configuration::Problems& problems) {
  for (const configuration::Problem& problem : problems)
    std::cerr << path << ": " << (problem.IsWarning() ? "warning" : "error")
              << ": " << ToString(problem) << "\n";
}

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_PROBLEM_REPORT_H_
