#include "LibPlatform/error.h"

#include <string>

namespace platform {

namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "platform"; }
  std::string message(int value) const override {
    return std::string(base::NameOf(kErrorNames, static_cast<Error>(value)));
  }
};

}  // namespace

const std::error_category& ErrorCategory() {
  static const Category category;
  return category;
}

}  // namespace platform
