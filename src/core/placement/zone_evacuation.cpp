#include "core/placement/zone_evacuation.hpp"

#include <algorithm>

namespace briarbarrow
{

bool is_evacuated(const evacuated_zones& zones, std::string_view zone)
{
    return std::binary_search(zones.begin(), zones.end(), zone);
}

bool set_evacuated(evacuated_zones& zones, std::string_view zone, bool is_ordered)
{
    const auto place = std::lower_bound(zones.begin(), zones.end(), zone);
    const bool was_ordered = place != zones.end() && *place == zone;
    if (was_ordered == is_ordered)
    {
        return false;
    }
    if (is_ordered)
    {
        zones.insert(place, std::string(zone));
    }
    else
    {
        zones.erase(place);
    }
    return true;
}

} // namespace briarbarrow
