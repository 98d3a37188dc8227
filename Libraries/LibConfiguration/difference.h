// The difference between two configuration documents.

#ifndef LIBCONFIGURATION_DIFFERENCE_H_
#define LIBCONFIGURATION_DIFFERENCE_H_

#include <string>
#include <variant>
#include <vector>

#include "LibBase/enum_table.h"
#include "LibConfiguration/document.h"

namespace configuration {

// The fields of a service. kServiceFieldNames holds their keys in the document.
enum class ServiceField {
  kAddress,
  kCandidates,
  kImbalanceWeight,
  kBrokenFlows,
  kRefusedOpenings,
  kWait,
  kRetryBudget,
  kOpeningDeadline,
};

inline constexpr base::EnumTable<ServiceField, 8> kServiceFieldNames{{
    {ServiceField::kAddress, "address"},
    {ServiceField::kCandidates, "placement.candidates"},
    {ServiceField::kImbalanceWeight, "placement.imbalance_weight"},
    {ServiceField::kBrokenFlows, "objective.broken_flows"},
    {ServiceField::kRefusedOpenings, "objective.refused_openings"},
    {ServiceField::kWait, "objective.wait_ms"},
    {ServiceField::kRetryBudget, "limits.retry_budget_percent"},
    {ServiceField::kOpeningDeadline, "limits.opening_deadline_ms"},
}};

// The fields of a backend server. kBackendServerFieldNames holds their keys in
// the document.
enum class BackendServerField {
  kDataCentre,
  kAddress,
  kHealth,
  kSlots,
  kConnections,
  kState,
  kIncarnation,
};

inline constexpr base::EnumTable<BackendServerField, 7>
    kBackendServerFieldNames{{
        {BackendServerField::kDataCentre, "data_centre"},
        {BackendServerField::kAddress, "address"},
        {BackendServerField::kHealth, "health"},
        {BackendServerField::kSlots, "slots"},
        {BackendServerField::kConnections, "connections"},
        {BackendServerField::kState, "state"},
        {BackendServerField::kIncarnation, "incarnation"},
    }};

// Returns the value of `field` as the document writes it.
std::string TextOf(const Service& service, ServiceField field);
std::string TextOf(const BackendServer& server, BackendServerField field);

struct ServiceAdded {
  std::string m_service;
};

struct ServiceRemoved {
  std::string m_service;
};

struct ServiceChanged {
  std::string m_service;
  ServiceField m_field;
  std::string m_before;
  std::string m_after;
};

struct BackendServerAdded {
  std::string m_service;
  std::string m_server;
};

struct BackendServerRemoved {
  std::string m_service;
  std::string m_server;
};

struct BackendServerChanged {
  std::string m_service;
  std::string m_server;
  BackendServerField m_field;
  std::string m_before;
  std::string m_after;
};

using Change = std::variant<ServiceAdded,
                            ServiceRemoved,
                            ServiceChanged,
                            BackendServerAdded,
                            BackendServerRemoved,
                            BackendServerChanged>;

// Returns the changes from `before` to `after`, in the order of the documents.
// Services and backend servers are matched by name. The order of lists and the
// submission ids are ignored.
std::vector<Change> DifferenceBetween(const Document& before,
                                      const Document& after);

// Example: "service licence: backend server tap-1: slots: 3 -> 4".
std::string ToString(const Change& change);

// Returns one line for each change.
std::string ToString(const std::vector<Change>& changes);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DIFFERENCE_H_
