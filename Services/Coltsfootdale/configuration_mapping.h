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

// Includes services without a backend server in the data centre, so that their
// openings are refused instead of remaining unanswered.
std::vector<flow::ServiceDefinition> MapServices(
    const configuration::Document& document,
    const base::DataCentreId& data_centre);

std::vector<balancer::ServiceProfile> MapProfiles(
    const configuration::Document& document,
    const base::DataCentreId& data_centre,
    configuration::PlacementPolicy placement);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_
