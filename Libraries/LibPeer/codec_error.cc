#include "LibPeer/codec_error.h"

#include <string>

#include "LibBase/enum_table.h"

namespace peer {

namespace {

constexpr base::EnumTable<CodecError, 5> kCodecErrorTexts{{
    {CodecError::kWrongMagic, "wrong magic number of the peer protocol"},
    {CodecError::kUnsupportedVersion,
     "unsupported version of the peer protocol"},
    {CodecError::kTruncated, "peer message is truncated"},
    {CodecError::kOversized, "peer message exceeds a size limit"},
    {CodecError::kMalformed, "peer message is malformed"},
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
