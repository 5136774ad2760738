// Availability zones that operators have evacuated: their backend servers get no new flows until
// the order is taken back, and keep the flows that are open.
//
// The load it is made for: all new flows of a zone move to the other zones at once. An evacuated
// backend server is excluded like one that drains, not only made expensive, so the order holds when
// the other zones are full. An order for a zone without backend servers is kept, since some may
// register there later.
#ifndef BRIARBARROW_CORE_PLACEMENT_ZONE_EVACUATION_HPP
#define BRIARBARROW_CORE_PLACEMENT_ZONE_EVACUATION_HPP

#include <string>
#include <string_view>
#include <vector>

namespace briarbarrow
{

// The evacuated zones, in alphabetical order.
using evacuated_zones = std::vector<std::string>;

// True when a zone is evacuated.
bool is_evacuated(const evacuated_zones& zones, std::string_view zone);

// Adds or removes a zone. False when nothing changed.
bool set_evacuated(evacuated_zones& zones, std::string_view zone, bool is_ordered);

} // namespace briarbarrow

#endif
