// Derives what a balancer of one data centre needs from the configuration
// document.

#ifndef SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_
#define SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_

#include <vector>

#include "LibBalancer/service_profile.h"
#include "LibBase/ids.h"
#include "LibConfiguration/document.h"
#include "LibConfiguration/settings.h"
#include "LibFlow/routing_table.h"

namespace service {

// Services without a backend server in the data centre are there too, so that
// their callers are refused and not left without an answer.
std::vector<flow::ServiceDefinition> MapServices(
    const configuration::Document& document,
    const base::DataCentreId& data_centre);

std::vector<balancer::ServiceProfile> MapProfiles(
    const configuration::Document& document,
    const base::DataCentreId& data_centre,
    configuration::PlacementPolicy placement);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_CONFIGURATION_MAPPING_H_
