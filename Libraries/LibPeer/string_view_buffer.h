// An input buffer over a string view, so that decoding needs no copy.

#ifndef LIBPEER_STRING_VIEW_BUFFER_H_
#define LIBPEER_STRING_VIEW_BUFFER_H_

#include <streambuf>
#include <string_view>

namespace peer {

class StringViewBuffer : public std::streambuf {
 public:
  // The bytes must outlive the buffer.
  explicit StringViewBuffer(std::string_view bytes) {
    // setg requires char*, but nothing writes to the get area.
    auto* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }

  bool IsExhausted() const { return gptr() == egptr(); }
};

}  // namespace peer

#endif  // LIBPEER_STRING_VIEW_BUFFER_H_
