#include "LibHttp/error.h"

#include <string>

namespace http {

namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "http"; }
  std::string message(int value) const override {
    return std::string(base::NameOf(kErrorNames, static_cast<Error>(value)));
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category category;
  return category;
}

bool MayHaveTakenEffect(std::error_code error) {
  return error != Error::kInvalidRequest && error != Error::kTooManyRequests &&
         error != Error::kNoSocket && error != Error::kConnectFailed;
}

}  // namespace http
