#include "LibPeer/codec_error.h"

#include <string>

#include "LibBase/enum_table.h"

namespace peer {

namespace {

constexpr base::EnumTable<CodecError, 5> kCodecErrorTexts{{
    {CodecError::kWrongMagic, "not a message of this protocol"},
    {CodecError::kUnsupportedVersion, "another version of the protocol"},
    {CodecError::kTruncated, "message is truncated"},
    {CodecError::kOversized, "message is over a size bound"},
    {CodecError::kMalformed, "message is malformed"},
}};

class CodecErrorCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "peer codec"; }
  std::string message(int value) const override {
    return std::string(
        base::NameOf(kCodecErrorTexts, static_cast<CodecError>(value)));
  }
};

}  // namespace

std::error_code make_error_code(CodecError error) {
  static const CodecErrorCategory category;
  return {static_cast<int>(error), category};
}

}  // namespace peer
