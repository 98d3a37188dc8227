// The subcommand that checks a manifest before it is sent to the store.

#ifndef SERVICES_EDGE_MANIFEST_CHECK_COMMAND_H_
#define SERVICES_EDGE_MANIFEST_CHECK_COMMAND_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "exit_code.h"
#include "platform/manifest_check.h"
#include "platform/manifest_difference.h"

namespace edge {

enum class ReportFormat { kText, kJson };

struct ManifestCheckOptions {
  // The file with the manifest, in the form of the store's object.
  std::string m_path;
  // The file with the manifest before, in the same form; empty: none.
  std::string m_previous_path;
  // The control endpoint of a balancer; its manifest in force is the one
  // before.
  std::optional<base::Endpoint> m_running;
  ReportFormat m_format = ReportFormat::kText;
};

// One line of the result.
struct ManifestFinding {
  bool m_is_warning = false;
  // A name of configuration::kProblemKindNames or adapter::kConsequenceNames.
  std::string m_kind;
  std::string m_text;
};

// The findings about a manifest, and the changes from the manifest before;
// nothing if there is none to compare with.
struct ManifestFindings {
  std::vector<ManifestFinding> m_findings;
  std::optional<std::vector<adapter::ManifestChange>> m_changes;
};

// Returns the problems in `report` and those of replacing `before`, which may
// be null.
ManifestFindings CollectFindings(const adapter::ManifestReport& report,
                                 const steering::Manifest* before);

// Writes the result in JSON, as one object. Bytes that are not UTF-8 are
// replaced.
void WriteJson(const adapter::ManifestReport& report,
               const ManifestFindings& findings,
               std::ostream& output);

// kDone without problems, kWarnings with warnings only, kErrors with an error.
ExitCode ExitCodeFor(const ManifestFindings& findings);

// Prints the result. Returns kUsage if a file cannot be read or the previous
// file is no manifest, kUnreachable if the balancer does not respond, and
// otherwise the result of ExitCodeFor.
ExitCode CheckManifest(const ManifestCheckOptions& options);

}  // namespace edge

#endif  // SERVICES_EDGE_MANIFEST_CHECK_COMMAND_H_
