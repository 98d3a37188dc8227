// Converts a configuration document to the routing definitions and service
// profiles of a balancer in one data centre.

#ifndef SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_
#define SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_

#include <vector>

#include "LibBalancer/service_profile.h"
#include "LibBase/ids.h"
#include "LibConfiguration/document.h"
#include "LibConfiguration/settings.h"
#include "LibFlow/routing_table.h"

namespace service {

// Returns the routing definitions of all services with their backend servers in
// `data_centre`. Includes services without a backend server in the data centre,
// so that their openings are refused instead of remaining unanswered.
std::vector<flow::ServiceDefinition> MapServices(
    const configuration::Document& document,
    const base::DataCentreId& data_centre);

// Returns the placement and admission settings of all services with the slots
// and connection limits of their backend servers in `data_centre`. `placement`
// is the policy that the settings of this balancer select.
std::vector<balancer::ServiceProfile> MapProfiles(
    const configuration::Document& document,
    const base::DataCentreId& data_centre,
    configuration::PlacementPolicy placement);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_
