// Combines several lambdas into one visitor for std::visit.

#ifndef LIBBASE_OVERLOADED_H_
#define LIBBASE_OVERLOADED_H_

namespace base {

template <typename... Callables>
struct Overloaded : Callables... {
  using Callables::operator()...;
};

template <typename... Callables>
Overloaded(Callables...) -> Overloaded<Callables...>;

}  // namespace base

#endif  // LIBBASE_OVERLOADED_H_
