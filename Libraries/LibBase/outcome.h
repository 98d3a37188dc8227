// The outcome type that every fallible function returns: a value or a
// std::error_code. No exception crosses a function of this project.

#ifndef LIBBASE_OUTCOME_H_
#define LIBBASE_OUTCOME_H_

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

namespace base {

template <typename T>
using Outcome = boost::outcome_v2::std_result<T>;

// Returned where there is no value to give.
inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace base

// Evaluates an outcome and returns its error from the calling function:
// TRY(value, Compute()); declares `auto&& value` (Boost.Outcome before 1.76).
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)

#endif  // LIBBASE_OUTCOME_H_
