// The configuration document, which takes effect whole or not at all.

#ifndef LIBCONFIGURATION_DOCUMENT_H_
#define LIBCONFIGURATION_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "LibConfiguration/service.h"

namespace configuration {

inline constexpr std::size_t kMaxServices = 256;
inline constexpr std::size_t kMaxBackendServersInService = 4096;
inline constexpr std::size_t kMaxPreviousSubmissions = 16;

struct Document {
  // The id under which this document was submitted; a writer that lost the
  // answer finds it here and knows that its write took effect.
  std::string m_submission;
  // The ids of the documents that this one replaced, latest first, so that a
  // write that was overwritten in the meantime is still found.
  std::vector<std::string> m_previous_submissions;
  std::vector<Service> m_services;

  friend bool operator==(const Document&, const Document&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_H_
