// The configuration document, which takes effect whole or not at all.

#ifndef LIBCONFIGURATION_DOCUMENT_H_
#define LIBCONFIGURATION_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibConfiguration/service.h"

namespace configuration {

inline constexpr std::size_t kMaxServices = 256;
inline constexpr std::size_t kMaxBackendServersInService = 4096;
inline constexpr std::size_t kMaxPreviousSubmissions = 32;

// One submission of a document and the version that it replaced.
struct SubmissionEntry {
  // Drawn at random for each submission; empty in a text that was not
  // submitted yet.
  std::string m_id;
  // Zero if the submission created the document.
  base::ConfigurationVersion m_base_version;

  friend bool operator==(const SubmissionEntry&,
                         const SubmissionEntry&) = default;
};

struct Document {
  // A writer that lost the answer finds its submission here and knows that its
  // write took effect.
  SubmissionEntry m_submission;
  // The submissions before it, newest first, so that a write that was
  // overwritten in the meantime is still found.
  std::vector<SubmissionEntry> m_previous_submissions;
  std::vector<Service> m_services;

  friend bool operator==(const Document&, const Document&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_H_
