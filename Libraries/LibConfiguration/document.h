// The configuration document: the services and their backend servers. A
// document takes effect as a whole or not at all.

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
  // A random id for each submission. Empty in a document that has not been
  // submitted.
  std::string m_id;
  // The version that the submission replaced. Zero if the submission created
  // the document.
  base::ConfigurationVersion m_base_version;

  friend bool operator==(const SubmissionEntry&,
                         const SubmissionEntry&) = default;
};

struct Document {
  // The submission that wrote this document. A writer that lost the response to
  // its write reads the document and finds its submission here if the write
  // took effect.
  SubmissionEntry m_submission;
  // The submissions before m_submission, newest first. A writer finds its
  // submission here if a later submission has replaced the document.
  std::vector<SubmissionEntry> m_previous_submissions;
  std::vector<Service> m_services;

  friend bool operator==(const Document&, const Document&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_H_
