// The type that every fallible function returns: a value or a std::error_code.
// No function of this project throws an exception to its caller.

#ifndef LIBBASE_OUTCOME_H_
#define LIBBASE_OUTCOME_H_

#include <boost/outcome/std_result.hpp>
#include <boost/outcome/try.hpp>

namespace base {

template <typename T>
using Outcome = boost::outcome_v2::std_result<T>;

// The successful result of a function that returns Outcome<void>.
inline auto Success() {
  return boost::outcome_v2::success();
}

}  // namespace base

// Evaluates an outcome. If it holds an error, the enclosing function returns
// that error. TRY(value, Compute()); declares `value` as `auto&&`, which the
// macro of Boost.Outcome does before Boost 1.76.
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)

#endif  // LIBBASE_OUTCOME_H_
