#include "LibWire/wire_error.h"

#include <string>

namespace wire {

namespace {

class WireErrorCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "wire"; }
  std::string message(int value) const override {
    return std::string(
        base::NameOf(kWireErrorNames, static_cast<WireError>(value)));
  }
};

}  // namespace

std::error_code make_error_code(WireError error) {
  static const WireErrorCategory category;
  return {static_cast<int>(error), category};
}

}  // namespace wire
